/// Strong types: values that can't be confused with others of the same representation.
#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace burdockstep {

/// Wraps a value. Strong types with different tags don't convert to each other.
template <class Representation, class Tag>
class strong_type
{
public:
    strong_type() = default;
    explicit strong_type(Representation value) : value_(std::move(value)) {}

    /// The wrapped value.
    Representation const& get() const { return value_; }

    friend auto operator<=>(strong_type const&, strong_type const&) = default;
    friend bool operator==(strong_type const&, strong_type const&) = default;

    /// Serialises the wrapped value with a cereal archive.
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(value_);
    }

private:
    Representation value_{};
};

} // namespace burdockstep

template <class Representation, class Tag>
struct std::hash<burdockstep::strong_type<Representation, Tag>>
{
    std::size_t operator()(burdockstep::strong_type<Representation, Tag> const& id) const noexcept
    {
        return std::hash<Representation>{}(id.get());
    }
};
