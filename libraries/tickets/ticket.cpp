#include "libraries/tickets/ticket.hpp"

#include <charconv>

namespace burdockstep {

namespace {

constexpr std::size_t hex_digits_per_word = 16;
constexpr std::size_t nonce_hex_digits = 2 * hex_digits_per_word;

bool parse_hex(std::string_view text, std::uint64_t& value)
{
    if (text.empty() || text.size() > hex_digits_per_word)
        return false;
    auto const [parse_end, parse_status] =
        std::from_chars(text.data(), text.data() + text.size(), value, 16);
    return parse_status == std::errc{} && parse_end == text.data() + text.size();
}

} // namespace

std::string ticket::text() const
{
    return fmt::format("{:016x}.{:x}.{}", incarnation.get(), epoch.get(), nonce.text());
}

ticket generate_ticket(incarnation_id incarnation, epoch_number epoch, random_source& random)
{
    digest const nonce{.high = random.next(), .low = random.next()};
    return {.incarnation = incarnation, .epoch = epoch, .nonce = nonce};
}

result<ticket> parse_ticket(std::string_view text)
{
    auto const first_dot = text.find('.');
    auto const second_dot =
        first_dot == std::string_view::npos ? first_dot : text.find('.', first_dot + 1);
    bool valid = second_dot != std::string_view::npos;
    std::uint64_t incarnation = 0;
    std::uint64_t epoch = 0;
    digest nonce;
    if (valid) {
        std::string_view const nonce_text = text.substr(second_dot + 1);
        valid = nonce_text.size() == nonce_hex_digits &&
                parse_hex(text.substr(0, first_dot), incarnation) &&
                parse_hex(text.substr(first_dot + 1, second_dot - first_dot - 1), epoch) &&
                parse_hex(nonce_text.substr(0, hex_digits_per_word), nonce.high) &&
                parse_hex(nonce_text.substr(hex_digits_per_word), nonce.low);
    }
    if (!valid)
        return fail(error_kind::malformed,
                    "malformed ticket: send the ticket exactly as the lookup returned it");
    return ticket{
        .incarnation = incarnation_id(incarnation), .epoch = epoch_number(epoch), .nonce = nonce};
}

} // namespace burdockstep
