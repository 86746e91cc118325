#pragma once

namespace gooseberryfall::core {

/// Overload set: combines function objects into one visitor for `std::visit`.
template <class... Functions>
struct visitors : Functions... {
    using Functions::operator()...;
};

template <class... Functions>
visitors(Functions...) -> visitors<Functions...>;

} // namespace gooseberryfall::core
