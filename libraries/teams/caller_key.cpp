#include "libraries/teams/caller_key.hpp"

#include <openssl/sha.h>

#include <array>
#include <cstring>

namespace burdockstep {

key_digest digest_of_key(std::string_view key)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> bytes{};
    SHA256(reinterpret_cast<unsigned char const*>(key.data()), key.size(), bytes.data());
    digest shortened;
    std::memcpy(&shortened.high, bytes.data(), sizeof shortened.high);
    std::memcpy(&shortened.low, bytes.data() + sizeof shortened.high, sizeof shortened.low);
    return key_digest(shortened);
}

} // namespace burdockstep
