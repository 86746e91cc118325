#include "core/limit_exchange.hpp"

namespace gooseberryfall::core {

limit_exchange::limit_exchange(node_parts& parts) : parts_(parts) {}

bool limit_exchange::ask(time_point now)
{
    std::set<shard_id> local;
    for (const shard_id& shard : parts_.shards.held()) {
        if (shard.kind == shard_kind::limits) {
            local.insert(shard);
        }
    }
    bool granted = false;
    // A portion owned here that has no token is answered at once, so that another can be asked now
    // and not at the next event.
    bool again = true;
    while (again) {
        again = false;
        for (const limit_question& question : parts_.borrower.questions(local, now)) {
            const std::optional<instance_id> holder = parts_.holder_of(question.shard, now);
            if (holder && *holder != parts_.settings.self.instance) {
                parts_.send(*holder, question.request);
                continue;
            }
            const limit_grant answer = lend(parts_.settings.self, question.request, now);
            const bool tokens = parts_.borrower.on_grant(answer, now);
            granted = tokens || granted;
            again = again || (question.request.wanted > 0 && !tokens);
        }
    }
    return granted;
}

void limit_exchange::on_request(const incarnation_id& from, const limit_request& request,
                                time_point now)
{
    parts_.send(from.instance, lend(from, request, now));
}

bool limit_exchange::on_grant(const limit_grant& grant, time_point now)
{
    return parts_.borrower.on_grant(grant, now);
}

limit_grant limit_exchange::lend(const incarnation_id& borrower, const limit_request& request,
                                 time_point now)
{
    const shard_id shard =
        portion_shard(request.team, request.portion, parts_.settings.limit_shards);
    if (parts_.shards.held_epoch(shard) && parts_.is_current(now)) {
        return parts_.owner.lend(borrower, request, now);
    }
    limit_grant answer;
    answer.team = request.team;
    answer.portion = request.portion;
    answer.grant = request.grant;
    answer.owner = false;
    return answer;
}

} // namespace gooseberryfall::core
