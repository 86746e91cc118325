#pragma once

#include "core/messages.hpp"
#include "core/node_parts.hpp"

namespace gooseberryfall::core {

/// Carries limit questions and grants between the borrower and the owners, here or at other
/// instances. Not thread-safe.
class limit_exchange {
public:
    explicit limit_exchange(node_parts& parts);

    /// Asks what is due. Returns whether tokens came from a shard held here.
    bool ask(time_point now);

    /// Another instance asks for tokens.
    void on_request(const incarnation_id& from, const limit_request& request, time_point now);

    /// An owner answered. Returns whether tokens came.
    bool on_grant(const limit_grant& grant, time_point now);

private:
    /// Lends if this instance may act for the portion.
    limit_grant lend(const incarnation_id& borrower, const limit_request& request, time_point now);

    node_parts& parts_;
};

} // namespace gooseberryfall::core
