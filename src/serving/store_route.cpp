#include "serving/store_route.hpp"

#include <utility>

namespace gooseberryfall::serving {

std::optional<bool> store_route::on_direct(store_reply reply, core::time_point now)
{
    if (reply == store_reply::answered) {
        refusals_ = 0;
        turned_away_until_ = {};
        return std::exchange(turned_away_, false) ? std::optional(false) : std::nullopt;
    }
    // A connection that cannot be made or gives no answer costs a whole time limit each time.
    refusals_ = reply == store_reply::refused ? refusals_ + 1 : settings_.refusals_max;
    if (refusals_ < settings_.refusals_max) {
        return std::nullopt;
    }
    turned_away_until_ = now + settings_.turned_away_pause;
    return std::exchange(turned_away_, true) ? std::nullopt : std::optional(true);
}

void store_route::on_relayed(store_reply reply, core::time_point now)
{
    if (reply == store_reply::refused) {
        relays_from_ = now + settings_.relay_pause;
    }
}

} // namespace gooseberryfall::serving
