#pragma once

#include "core/messages.hpp"
#include "core/records.hpp"

#include <boost/pfr.hpp>

#include <cmath>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace gooseberryfall::sample {

/// Gives every field of a core struct a value of its own, so that a field which a codec leaves out
/// or swaps with another one is noticed, also fields added later.
class filler {
public:
    explicit filler(std::uint64_t seed = 1) : next_(seed) {}

    template <class Value>
    void fill(Value& value)
    {
        if constexpr (std::is_same_v<Value, bool>) {
            value = next_++ % 2 == 1;
        }
        else if constexpr (std::is_enum_v<Value>) {
            value = static_cast<Value>(next_++ % 2);
        }
        else if constexpr (std::is_floating_point_v<Value>) {
            value = static_cast<Value>(next_++) + 0.25;
        }
        else if constexpr (std::is_integral_v<Value>) {
            value = static_cast<Value>(next_++);
        }
        else {
            boost::pfr::for_each_field(value, [this](auto& field) { this->fill(field); });
        }
    }

    template <class Tag>
    void fill(core::basic_id<Tag>& value)
    {
        value = core::basic_id<Tag>("id-" + std::to_string(next_++));
    }

    void fill(std::string& value)
    {
        value = "text-" + std::to_string(next_++) + std::string(1, '\0') + "\xff tail";
    }

    void fill(core::digest& value)
    {
        for (auto& byte : value) {
            byte = static_cast<std::uint8_t>(next_++);
        }
    }

    void fill(core::wall_time& value)
    {
        value = core::wall_time(std::chrono::milliseconds(next_++));
    }
    void fill(core::duration& value) { value = core::duration(next_++); }

    template <class Value>
    void fill(std::optional<Value>& value)
    {
        fill(value.emplace());
    }

    template <class Value>
    void fill(std::vector<Value>& value)
    {
        value.resize(2);
        for (Value& item : value) {
            fill(item);
        }
    }

    /// Each alternative once, in the order of the variant.
    template <class... Kinds>
    void fill(std::vector<std::variant<Kinds...>>& value)
    {
        (fill(value.emplace_back().template emplace<Kinds>()), ...);
    }

    template <class... Kinds>
    void fill(std::variant<Kinds...>& value)
    {
        const std::size_t kind = kind_++ % sizeof...(Kinds);
        std::size_t index = 0;
        ((index++ == kind ? fill(value.template emplace<Kinds>()) : void()), ...);
    }

    template <class Key, class Value>
    void fill(std::map<Key, Value>& value)
    {
        Key key{};
        fill(key);
        Value item{};
        fill(item);
        if constexpr (requires { item.id == key; }) {
            item.id = key;
        }
        value.emplace(std::move(key), std::move(item));
    }

private:
    std::uint64_t next_;
    std::size_t kind_ = 0;
};

/// Whether two values are the same in every field.
template <class Value>
bool same(const Value& left, const Value& right);
template <class Value>
bool same(const std::vector<Value>& left, const std::vector<Value>& right);
template <class... Kinds>
bool same(const std::variant<Kinds...>& left, const std::variant<Kinds...>& right);
template <class Key, class Value>
bool same(const std::map<Key, Value>& left, const std::map<Key, Value>& right);
template <class Value>
bool same(const std::optional<Value>& left, const std::optional<Value>& right);

template <class Value>
bool same(const std::optional<Value>& left, const std::optional<Value>& right)
{
    const bool both = left.has_value() && right.has_value();
    return left.has_value() == right.has_value() && (!both || same(*left, *right));
}

template <class Value>
bool same(const std::vector<Value>& left, const std::vector<Value>& right)
{
    bool equal = left.size() == right.size();
    for (std::size_t index = 0; equal && index < left.size(); ++index) {
        equal = same(left[index], right[index]);
    }
    return equal;
}

template <class... Kinds>
bool same(const std::variant<Kinds...>& left, const std::variant<Kinds...>& right)
{
    return left.index() == right.index() &&
           std::visit(
               [&right](const auto& value) {
                   return same(value, std::get<std::decay_t<decltype(value)>>(right));
               },
               left);
}

template <class Key, class Value>
bool same(const std::map<Key, Value>& left, const std::map<Key, Value>& right)
{
    bool equal = left.size() == right.size();
    for (const auto& [key, value] : left) {
        equal = equal && right.contains(key) && same(value, right.at(key));
    }
    return equal;
}

template <class Value>
bool same(const Value& left, const Value& right)
{
    if constexpr (requires { left == right; }) {
        return left == right;
    }
    else {
        bool equal = true;
        boost::pfr::for_each_field(left, [&](const auto& field, auto index) {
            equal = equal && same(field, boost::pfr::get<decltype(index)::value>(right));
        });
        return equal;
    }
}

} // namespace gooseberryfall::sample
