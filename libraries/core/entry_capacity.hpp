/// What the machine of an entry can carry, as its settings say.
#pragma once

#include <cstdint>

namespace burdockstep {

/// Processor and network link of one entry. 0 means that the figure isn't known.
struct entry_capacity
{
    std::uint32_t core_thousandths = 0; ///< Share of a processor core.
    std::uint32_t link_kbps = 0;        ///< Bandwidth of the machine's link, in kbit/s.

    bool is_known() const { return core_thousandths != 0 || link_kbps != 0; }

    friend bool operator==(entry_capacity const&, entry_capacity const&) = default;
};

/// Larger figures are errors of whoever wrote them, and would draw callers away from the others.
constexpr std::uint32_t max_core_thousandths = 1'024'000;
constexpr std::uint32_t max_link_kbps = 400'000'000;

} // namespace burdockstep
