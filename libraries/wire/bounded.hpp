/// Strings and lists with a size limit that decoding checks before it allocates memory.
#pragma once

#include <cereal/cereal.hpp>

#include <cstdint>
#include <limits>
#include <string>
#include <utility>
#include <vector>

namespace burdockstep::wire {

/// A string of at most `limit` bytes. Encoding and decoding throw when it is longer.
template <std::uint32_t limit>
class bounded_text
{
public:
    static constexpr std::size_t max_bytes = limit;

    bounded_text() = default;
    explicit bounded_text(std::string text) : text_(std::move(text)) {}

    std::string const& get() const { return text_; }

    template <class Archive>
    void save(Archive& archive) const
    {
        auto const size = static_cast<std::uint32_t>(text_.size());
        if (size > limit)
            throw cereal::Exception("text over its limit");
        archive(size);
        archive(cereal::binary_data(text_.data(), size));
    }

    template <class Archive>
    void load(Archive& archive)
    {
        std::uint32_t size = 0;
        archive(size);
        if (size > limit)
            throw cereal::Exception("text over its limit");
        text_.resize(size);
        archive(cereal::binary_data(text_.data(), size));
    }

    friend bool operator==(bounded_text const&, bounded_text const&) = default;

private:
    std::string text_;
};

/// A list of at most `limit` elements. Encoding and decoding throw when it is longer.
template <class Element, std::uint16_t limit>
class bounded_list
{
public:
    bounded_list() = default;
    explicit bounded_list(std::vector<Element> elements) : elements_(std::move(elements)) {}

    static constexpr std::size_t max_elements = limit;

    std::vector<Element> const& get() const { return elements_; }
    bool is_full() const { return elements_.size() >= limit; }
    void add(Element element) { elements_.push_back(std::move(element)); }

    template <class Archive>
    void save(Archive& archive) const
    {
        if (elements_.size() > limit)
            throw cereal::Exception("list over its limit");
        archive(static_cast<std::uint16_t>(elements_.size()));
        for (Element const& each : elements_)
            archive(each);
    }

    template <class Archive>
    void load(Archive& archive)
    {
        std::uint16_t size = 0;
        archive(size);
        if (size > limit)
            throw cereal::Exception("list over its limit");
        elements_.clear();
        for (std::uint16_t i = 0; i < size; ++i) {
            Element element{};
            archive(element);
            elements_.push_back(std::move(element));
        }
    }

    friend bool operator==(bounded_list const&, bounded_list const&) = default;

private:
    std::vector<Element> elements_;
};

/// A reference to a bool or an enumeration that is sent as one byte. Decoding throws when the byte
/// is over `highest`: such a value must not get into a bool or a switch.
template <class Value, std::uint8_t highest>
class checked_byte
{
public:
    explicit checked_byte(Value& value) : value_(value) {}

    template <class Archive>
    void save(Archive& archive) const
    {
        archive(static_cast<std::uint8_t>(value_));
    }

    template <class Archive>
    void load(Archive& archive)
    {
        std::uint8_t byte = 0;
        archive(byte);
        if (byte > highest)
            throw cereal::Exception("value out of range");
        value_ = static_cast<Value>(byte);
    }

private:
    Value& value_;
};

using checked_bool = checked_byte<bool, 1>;

} // namespace burdockstep::wire
