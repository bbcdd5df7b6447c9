#include "libraries/net/framed_stream.hpp"

#include <fmt/format.h>

#include <netinet/in.h>

#include <array>
#include <cstdint>
#include <limits>
#include <utility>

namespace burdockstep {

namespace {

constexpr std::size_t length_prefix_bytes = 4;
constexpr std::size_t read_buffer_bytes = std::size_t{64} * 1024;
constexpr int listen_backlog = 64;

std::string encode_frame(std::string_view content)
{
    auto const size = static_cast<std::uint32_t>(content.size());
    std::string frame;
    for (unsigned shift = 0; shift < 32; shift += 8)
        frame.push_back(static_cast<char>((size >> shift) & 0xffU));
    frame += content;
    return frame;
}

std::uint32_t decode_length(std::string_view bytes)
{
    std::uint32_t length = 0;
    for (std::size_t i = 0; i < length_prefix_bytes; ++i)
        length |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    return length;
}

/// Limits on the frames that connections read.
struct frame_limits
{
    std::size_t max_frame_bytes = 0;
    std::size_t max_held_bytes = std::numeric_limits<std::size_t>::max();
};

/// A connection that reads one frame. It holds a reference to itself until its handle is closed.
class frame_connection : public std::enable_shared_from_this<frame_connection>
{
public:
    /// `held_bytes` counts what this connection and others hold of frames.
    frame_connection(event_loop& loop, frame_limits limits, std::shared_ptr<std::size_t> held_bytes)
        : deadline_timer_(std::make_unique<timer>(loop)), limits_(limits),
          held_bytes_(std::move(held_bytes))
    {
        uv_tcp_init(loop.raw(), &tcp_);
        tcp_.data = this;
    }

    ~frame_connection()
    {
        *held_bytes_ -= received_bytes_.size();
        if (held_sent_bytes_)
            *held_sent_bytes_ -= frame_to_send_.size();
    }
    frame_connection(frame_connection const&) = delete;
    frame_connection& operator=(frame_connection const&) = delete;

    uv_tcp_t* tcp() { return &tcp_; }

    /// Closes the connection after `time_limit`. Keeps the object alive until the handle is closed.
    void start_deadline(duration time_limit)
    {
        self_reference_ = shared_from_this();
        deadline_timer_->start_once(time_limit, [this] { close(); });
    }

    void read_frame(std::function<void(std::string_view)> handler)
    {
        frame_handler_ = std::move(handler);
        uv_read_start(
            reinterpret_cast<uv_stream_t*>(&tcp_),
            [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
                auto* const self = static_cast<frame_connection*>(handle->data);
                *buffer = uv_buf_init(self->read_buffer_.data(), self->read_buffer_.size());
            },
            [](uv_stream_t* stream, ssize_t size, uv_buf_t const* buffer) {
                auto* const self = static_cast<frame_connection*>(stream->data);
                if (size < 0)
                    self->close();
                else
                    self->process_received(
                        std::string_view(buffer->base, static_cast<std::size_t>(size)));
            });
    }

    void connect(address const& to, std::function<void(bool)> handler)
    {
        connect_handler_ = std::move(handler);
        connect_request_.data = this;
        sockaddr_in const target = to.to_sockaddr();
        int const code = uv_tcp_connect(
            &connect_request_, &tcp_, reinterpret_cast<sockaddr const*>(&target),
            [](uv_connect_t* connect, int status) {
                auto* const self = static_cast<frame_connection*>(connect->data);
                if (auto const callback = std::exchange(self->connect_handler_, nullptr))
                    callback(status == 0);
            });
        if (code != 0)
            close();
    }

    /// Writes one frame and closes the connection. `held_sent_bytes` counts what this connection
    /// and others hold of frames that their peers haven't taken.
    void write_last_frame(std::string_view content, std::shared_ptr<std::size_t> held_sent_bytes)
    {
        close_after_write_ = true;
        write_frame(content);
        held_sent_bytes_ = std::move(held_sent_bytes);
        *held_sent_bytes_ += frame_to_send_.size();
    }

    void write_frame(std::string_view content)
    {
        frame_to_send_ = encode_frame(content);
        write_request_.data = this;
        uv_buf_t const buffer =
            uv_buf_init(frame_to_send_.data(), static_cast<unsigned>(frame_to_send_.size()));
        uv_write(&write_request_, reinterpret_cast<uv_stream_t*>(&tcp_), &buffer, 1,
                 [](uv_write_t* write, int status) {
                     auto* const self = static_cast<frame_connection*>(write->data);
                     if (status != 0 || self->close_after_write_)
                         self->close();
                 });
    }

    /// `handler` runs once, when the connection has closed for any reason.
    void on_close(std::function<void()> handler) { close_handler_ = std::move(handler); }

    /// Returns true if the connection was closed since a frame was too long or had no room.
    bool has_exceeded_limit() const { return has_exceeded_limit_; }

    void close()
    {
        auto* const handle = reinterpret_cast<uv_handle_t*>(&tcp_);
        if (uv_is_closing(handle) != 0)
            return;
        deadline_timer_.reset();
        uv_close(handle, [](uv_handle_t* closed) {
            auto* const self = static_cast<frame_connection*>(closed->data);
            auto const keep_alive = std::move(self->self_reference_);
            if (auto const callback = std::exchange(self->close_handler_, nullptr))
                callback();
        });
    }

private:
    void process_received(std::string_view bytes)
    {
        received_bytes_ += bytes;
        *held_bytes_ += bytes.size();
        bool const is_only_one = *held_bytes_ == received_bytes_.size();
        if (*held_bytes_ > limits_.max_held_bytes && !is_only_one) {
            close_for_limit();
            return;
        }
        if (received_bytes_.size() < length_prefix_bytes)
            return;
        std::size_t const length = decode_length(received_bytes_);
        if (length > limits_.max_frame_bytes) {
            close_for_limit();
            return;
        }
        if (received_bytes_.size() < length_prefix_bytes + length)
            return;
        uv_read_stop(reinterpret_cast<uv_stream_t*>(&tcp_));
        if (auto const handler = std::exchange(frame_handler_, nullptr))
            handler(std::string_view(received_bytes_).substr(length_prefix_bytes, length));
    }

    void close_for_limit()
    {
        has_exceeded_limit_ = true;
        close();
    }

    uv_tcp_t tcp_{};
    uv_write_t write_request_{};
    uv_connect_t connect_request_{};
    std::unique_ptr<timer> deadline_timer_;
    frame_limits limits_;
    std::shared_ptr<std::size_t> held_bytes_;
    std::array<char, read_buffer_bytes> read_buffer_{};
    std::string received_bytes_;
    std::string frame_to_send_;
    std::shared_ptr<std::size_t> held_sent_bytes_; ///< Null while nothing is counted.
    std::function<void(std::string_view)> frame_handler_;
    std::function<void(bool)> connect_handler_;
    std::function<void()> close_handler_;
    std::shared_ptr<frame_connection> self_reference_;
    bool close_after_write_ = false;
    bool has_exceeded_limit_ = false;
};

} // namespace

struct framed_server::state : std::enable_shared_from_this<framed_server::state>
{
    state(event_loop& event_loop, framed_stream_limits stream_limits)
        : loop(event_loop), limits(stream_limits)
    {}

    void accept()
    {
        auto const connection = std::make_shared<frame_connection>(
            loop, frame_limits{.max_frame_bytes = limits.max_question_bytes}, held_question_bytes);
        connection->start_deadline(limits.exchange_timeout);
        bool const accepted = uv_accept(reinterpret_cast<uv_stream_t*>(&listener),
                                        reinterpret_cast<uv_stream_t*>(connection->tcp())) == 0;
        if (!accepted || open_connections >= limits.max_connections) {
            connection->close();
            return;
        }
        ++open_connections;
        connection->on_close([self = shared_from_this()] { --self->open_connections; });
        sockaddr_storage peer_name{};
        int length = sizeof peer_name;
        uv_tcp_getpeername(connection->tcp(), reinterpret_cast<sockaddr*>(&peer_name), &length);
        address const from = address::from_sockaddr(reinterpret_cast<sockaddr const&>(peer_name));
        std::weak_ptr<frame_connection> const weak_connection = connection;
        connection->read_frame(
            [self = shared_from_this(), weak_connection, from](std::string_view question) {
                auto const live_connection = weak_connection.lock();
                if (!live_connection)
                    return;
                auto const reply = self->answer(from, question);
                if (reply && self->has_room_for(*reply))
                    live_connection->write_last_frame(*reply, self->held_answer_bytes);
                else
                    live_connection->close();
            });
    }

    bool has_room_for(std::string const& reply) const
    {
        bool const is_only_one = *held_answer_bytes == 0;
        return is_only_one || *held_answer_bytes + reply.size() <= limits.max_held_answer_bytes;
    }

    event_loop& loop;
    framed_stream_limits limits;
    answer_provider answer;
    std::shared_ptr<std::size_t> held_question_bytes = std::make_shared<std::size_t>(0);
    std::shared_ptr<std::size_t> held_answer_bytes = std::make_shared<std::size_t>(0);
    uv_tcp_t listener{};
    /// Keeps the state alive until the listener handle has closed.
    std::shared_ptr<state> self_reference;
    std::size_t open_connections = 0;
};

framed_server::framed_server(event_loop& loop, framed_stream_limits limits)
    : state_(std::make_shared<state>(loop, limits))
{
    state_->self_reference = state_;
    uv_tcp_init(loop.raw(), &state_->listener);
    state_->listener.data = state_.get();
}

framed_server::~framed_server()
{
    uv_close(reinterpret_cast<uv_handle_t*>(&state_->listener), [](uv_handle_t* handle) {
        auto const keep_alive = std::move(static_cast<state*>(handle->data)->self_reference);
    });
}

result<address> framed_server::try_listen(address const& at, answer_provider answer)
{
    state_->answer = std::move(answer);
    sockaddr_in const requested_address = at.to_sockaddr();
    int code =
        uv_tcp_bind(&state_->listener, reinterpret_cast<sockaddr const*>(&requested_address), 0);
    if (code == 0) {
        code = uv_listen(reinterpret_cast<uv_stream_t*>(&state_->listener), listen_backlog,
                         [](uv_stream_t* listener, int status) {
                             if (status == 0)
                                 static_cast<state*>(listener->data)->accept();
                         });
    }
    if (code != 0) {
        return fail(error_kind::invalid_input,
                    fmt::format("TCP address {} can't be bound ({}); free it or choose another",
                                at.text(), uv_strerror(code)));
    }
    return at;
}

namespace {

/// One question of a `framed_client`, shared by the callbacks of its connection.
struct pending_question
{
    std::function<void(framed_answer const&)> handler;
    framed_answer answer;
    std::string question;
};

} // namespace

framed_client::framed_client(event_loop& loop, framed_stream_limits limits)
    : loop_(loop), limits_(limits), held_answer_bytes_(std::make_shared<std::size_t>(0))
{}

void framed_client::ask(address const& from, address const& to, std::string const& question,
                        std::function<void(framed_answer const&)> handler)
{
    auto const connection = std::make_shared<frame_connection>(
        loop_,
        frame_limits{.max_frame_bytes = limits_.max_answer_bytes,
                     .max_held_bytes = limits_.max_held_answer_bytes},
        held_answer_bytes_);
    auto const pending = std::make_shared<pending_question>();
    pending->handler = std::move(handler);
    pending->question = question;
    connection->start_deadline(limits_.exchange_timeout);
    connection->on_close([pending, closed = connection.get()] {
        pending->answer.exceeds_limit = closed->has_exceeded_limit();
        pending->handler(pending->answer);
    });
    sockaddr_in local = from.to_sockaddr();
    local.sin_port = 0;
    uv_tcp_bind(connection->tcp(), reinterpret_cast<sockaddr const*>(&local), 0);
    std::weak_ptr<frame_connection> const weak_connection = connection;
    connection->connect(to, [pending, weak_connection](bool connected) {
        auto const live_connection = weak_connection.lock();
        if (!live_connection)
            return;
        if (!connected) {
            live_connection->close();
            return;
        }
        live_connection->read_frame([pending, weak_connection](std::string_view bytes) {
            pending->answer.content = std::string(bytes);
            if (auto const still_open_connection = weak_connection.lock())
                still_open_connection->close();
        });
        live_connection->write_frame(pending->question);
    });
}

} // namespace burdockstep
