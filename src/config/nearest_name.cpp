#include "config/nearest_name.hpp"

#include <algorithm>
#include <limits>
#include <numeric>

namespace gooseberryfall::config {

namespace {

/// Characters of a name that are compared. The time of a comparison grows with the product of the
/// lengths, and a file may contain very long keys.
constexpr std::size_t compared_characters_max = 128;

} // namespace

std::size_t edit_distance(const std::string& left, const std::string& right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), 0U);
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t substituted = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, substituted});
        }
    }
    return row.back();
}

std::string nearest_name(const std::string& name, const std::vector<std::string>& known)
{
    std::string nearest;
    std::size_t lowest_distance = std::numeric_limits<std::size_t>::max();
    for (const std::string& candidate : known) {
        const std::size_t distance =
            edit_distance(name.substr(0, compared_characters_max), candidate);
        if (distance < lowest_distance) {
            lowest_distance = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

} // namespace gooseberryfall::config
