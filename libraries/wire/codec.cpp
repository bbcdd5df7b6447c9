#include "libraries/wire/codec.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <fmt/format.h>

#include <istream>
#include <sstream>
#include <streambuf>

namespace burdockstep::wire {

namespace {

/// The version byte and the type byte.
constexpr std::size_t header_bytes = 2;

/// Stream buffer that reads from bytes owned by the caller, without copying them.
class string_view_buffer final : public std::streambuf
{
public:
    explicit string_view_buffer(std::string_view bytes)
    {
        char* const first = const_cast<char*>(bytes.data());
        setg(first, first, first + bytes.size());
    }

    bool is_at_end() const { return gptr() == egptr(); }
};

/// Reads the message with the given type byte. Returns false when the type is unknown.
template <std::size_t index = 0>
bool read_alternative(std::size_t type, cereal::PortableBinaryInputArchive& archive, message& out)
{
    if constexpr (index < std::variant_size_v<message>) {
        if (type != index)
            return read_alternative<index + 1>(type, archive, out);
        std::variant_alternative_t<index, message> value;
        archive(value);
        out = std::move(value);
        return true;
    }
    else {
        return false;
    }
}

} // namespace

std::string encode(message const& value)
{
    std::ostringstream out;
    out.put(static_cast<char>(wire_version));
    out.put(static_cast<char>(value.index()));
    cereal::PortableBinaryOutputArchive archive(out);
    std::visit([&](auto const& alternative) { archive(alternative); }, value);
    return std::move(out).str();
}

result<std::string> try_encode(message const& value)
{
    try {
        return encode(value);
    }
    catch (cereal::Exception const& error) {
        return fail(error_kind::limit,
                    fmt::format("{}; shorten the field before it is sent", error.what()));
    }
}

result<message> decode(std::string_view bytes)
{
    if (bytes.size() < header_bytes)
        return fail(error_kind::malformed, "message is shorter than its header; drop it");
    if (static_cast<std::uint8_t>(bytes[0]) != wire_version)
        return fail(error_kind::malformed,
                    "message has another wire version; upgrade the older daemon");
    auto const type = static_cast<std::uint8_t>(bytes[1]);
    string_view_buffer buffer(bytes.substr(header_bytes));
    std::istream stream(&buffer);
    try {
        cereal::PortableBinaryInputArchive archive(stream);
        message value;
        if (!read_alternative(type, archive, value))
            return fail(error_kind::malformed, "message has an unknown type; drop it");
        if (!buffer.is_at_end())
            return fail(error_kind::malformed, "message is followed by excess bytes; drop it");
        return value;
    }
    catch (cereal::Exception const&) {
        return fail(error_kind::malformed,
                    "message is truncated or a field exceeds its limit; drop it");
    }
}

} // namespace burdockstep::wire
