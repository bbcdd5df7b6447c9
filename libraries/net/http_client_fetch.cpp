#include "libraries/net/http_client.hpp"

#include <memory>
#include <utility>

namespace burdockstep {

namespace {

/// Collects an answer with its body, hands it to the handler and deletes itself.
class answer_collector final : public call_listener
{
public:
    explicit answer_collector(std::function<void(http_client::fetch_result)> handler)
        : handler_(std::move(handler))
    {}

    void on_head(http_head const& head) override { answer_.head = head; }

    bool on_body(std::string_view bytes) override
    {
        answer_.body.append(bytes);
        return true;
    }

    void on_done(call_end end) override
    {
        std::unique_ptr<answer_collector> const self(this);
        answer_.end = end;
        handler_(std::move(answer_));
    }

private:
    std::function<void(http_client::fetch_result)> handler_;
    http_client::fetch_result answer_;
};

} // namespace

void http_client::fetch(call_options const& options, std::size_t max_body_bytes,
                        std::function<void(fetch_result)> handler)
{
    call_options limited_options = options;
    limited_options.max_body_bytes = max_body_bytes;
    limited_options.collects_body = true;
    start(limited_options, *new answer_collector(std::move(handler)));
}

} // namespace burdockstep
