/// Body of a message, held once for all that read or send it.
#pragma once

#include "libraries/http1/memory_budget.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace burdockstep::http1 {

/// Appends received bytes to an incomplete body that may grow to `max_bytes`. A body of known
/// length is allocated at once; memory that isn't written to isn't used.
void append_to_body(std::string& body, std::string_view bytes, std::optional<std::uint64_t> length,
                    std::size_t max_bytes);

/// Empties a string and frees its memory, which assigning an empty string may keep.
inline void free_string(std::string& text)
{
    std::string().swap(text);
}

/// Shared, unchangeable bytes and the charge for them.
class message_body
{
public:
    message_body() = default;
    message_body(std::string bytes, memory_charge charge = {})
        : content_(bytes.empty() ? nullptr
                                 : std::make_shared<content>(std::move(bytes), std::move(charge)))
    {}
    message_body(char const* bytes) : message_body(std::string(bytes)) {}

    std::string_view bytes() const
    {
        return content_ == nullptr ? std::string_view() : std::string_view(content_->bytes);
    }
    operator std::string_view() const { return bytes(); }
    bool empty() const { return content_ == nullptr; }
    std::size_t size() const { return bytes().size(); }

private:
    struct content
    {
        content(std::string new_bytes, memory_charge new_charge)
            : bytes(std::move(new_bytes)), charge(std::move(new_charge))
        {}

        std::string bytes;
        memory_charge charge;
    };

    std::shared_ptr<content const> content_;
};

} // namespace burdockstep::http1
