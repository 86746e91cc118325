#include "core/admission_queue.hpp"

#include <criterion/criterion.h>

#include <map>
#include <string>
#include <vector>

namespace core = gooseberryfall::core;

namespace {

const core::service_id captions{"captions"};
const core::service_id studio{"studio"};

core::queued_request make(core::request_id id, const std::string& team, double cost = 1,
                          const core::service_id& service = captions)
{
    const core::time_point deadline{std::chrono::seconds(10)};
    return {id, core::team_id{team}, service, cost, deadline};
}

bool always(const core::queued_request&)
{
    return true;
}

/// Pops until `cost` units have left and returns what each team got.
std::map<std::string, double> serve(core::admission_queue& queue, double cost)
{
    std::map<std::string, double> served;
    for (double total = 0; total < cost;) {
        const auto next = queue.pop(always);
        cr_assert(next.has_value());
        served[next->team.value()] += next->cost;
        total += next->cost;
    }
    return served;
}

} // namespace

// Guards against sharing by number of requests in place of cost, and against ignored weights.
Test(admission_queue, shares_cost_by_weight)
{
    core::admission_queue queue;
    queue.set_team(core::team_id{"heavy"}, 2, 1000);
    queue.set_team(core::team_id{"large"}, 1, 1000);
    queue.set_team(core::team_id{"small"}, 1, 1000);
    core::request_id id = 1;
    for (int count = 0; count < 400; ++count) {
        queue.push(make(id++, "heavy", 10));
        queue.push(make(id++, "large", 40));
        queue.push(make(id++, "small", 5));
    }
    const auto served = serve(queue, 2000);
    cr_assert(std::abs(served.at("heavy") - 1000) <= 50);
    cr_assert(std::abs(served.at("large") - 500) <= 50);
    cr_assert(std::abs(served.at("small") - 500) <= 50);
}

// Guards against a team that waits behind the whole backlog of a noisy one, and against credit
// saved up while idle.
Test(admission_queue, late_team_is_neither_starved_nor_favoured)
{
    core::admission_queue queue;
    queue.set_team(core::team_id{"noisy"}, 1, 1000);
    queue.set_team(core::team_id{"late"}, 1, 1000);
    for (core::request_id id = 1; id <= 300; ++id) {
        queue.push(make(id, "noisy"));
    }
    serve(queue, 100);
    for (core::request_id id = 1000; id < 1100; ++id) {
        queue.push(make(id, "late"));
    }
    const auto served = serve(queue, 40);
    cr_assert(served.at("late") >= 19 && served.at("late") <= 21);
}

// Guards against the backlog of one service putting a team back at another service.
Test(admission_queue, services_do_not_share_virtual_time)
{
    core::admission_queue queue;
    core::request_id id = 1;
    for (int count = 0; count < 20; ++count) {
        queue.push(make(id++, "both", 1, studio));
        queue.push(make(id++, "other", 1, studio));
    }
    for (int count = 0; count < 50; ++count) {
        queue.push(make(id++, "both", 1000, captions));
        cr_assert(queue.pop([](const auto& each) { return each.service == captions; }).has_value());
    }
    const auto served = serve(queue, 10);
    cr_assert_eq(served.at("both"), 5);
}

// Guards against a blocked service or head stopping others, and against repeated questions.
Test(admission_queue, asks_each_team_and_service_once)
{
    core::admission_queue queue;
    for (core::request_id id = 1; id <= 10; ++id) {
        queue.push(make(id, "one"));
        queue.push(make(id + 10, "two"));
        queue.push(make(id + 20, "one", 1, studio));
    }
    std::vector<core::request_id> asked;
    const auto none = queue.pop([&](const core::queued_request& each) {
        asked.push_back(each.request);
        return false;
    });
    cr_assert(!none.has_value());
    cr_assert_eq(asked.size(), 3U);
    const auto other =
        queue.pop([](const core::queued_request& each) { return each.service == studio; });
    cr_assert_eq(other->request, 21U);
}

// Guards against an unbounded queue, against a full team that blocks others, and against open
// routes (empty team) being lost.
Test(admission_queue, bounds_each_team)
{
    core::admission_queue queue;
    queue.set_team(core::team_id{"full"}, 1, 2);
    queue.set_team(core::team_id{}, 1, 2);
    cr_assert(queue.push(make(1, "full")));
    cr_assert(queue.push(make(2, "full", 1, studio)));
    cr_assert(!queue.push(make(3, "full")));
    cr_assert(queue.push(make(4, "")));
    queue.push_front(make(5, "full"));
    cr_assert_eq(queue.size(core::team_id{"full"}), 3U);
    cr_assert_eq(queue.size(core::team_id{}), 1U);
    cr_assert(queue.remove(1));
    cr_assert(!queue.remove(1));
    cr_assert_eq(queue.size(), 3U);
}

// Guards against a retry that waits at the end, and against a second charge for it.
Test(admission_queue, retry_goes_first_and_is_charged_once)
{
    core::admission_queue queue;
    for (core::request_id id = 1; id <= 20; ++id) {
        queue.push(make(id, "one", 10));
        queue.push(make(id + 100, "two", 10));
    }
    const auto is_one = [](const core::queued_request& each) { return each.team.value() == "one"; };
    for (int attempt = 0; attempt < 5; ++attempt) {
        const auto first = queue.pop(is_one);
        cr_assert_eq(first->request, 1U);
        queue.push_front(*first);
    }
    const auto served = serve(queue, 200);
    cr_assert_eq(served.at("one"), 100);
}

// Guards against charges for requests that left the queue without being served.
Test(admission_queue, removed_and_expired_requests_are_not_charged)
{
    core::admission_queue queue;
    const core::time_point now{std::chrono::seconds(5)};
    for (core::request_id id = 1; id <= 20; ++id) {
        core::queued_request request = make(id, "one");
        if (id <= 8) {
            request.deadline = now;
        }
        queue.push(request);
        queue.push(make(id + 100, "two"));
    }
    cr_assert_eq(queue.expire(now).size(), 8U);
    cr_assert(queue.expire(now).empty());
    cr_assert(queue.remove(20));
    const auto served = serve(queue, 10);
    cr_assert_eq(served.at("one"), 5);
}

// Guards against the baseline of the performance tests being fair after all.
Test(admission_queue, arrival_order_is_first_come_first_served)
{
    core::admission_queue queue(core::queue_order::arrival);
    for (core::request_id id = 1; id <= 10; ++id) {
        queue.push(make(id, id <= 5 ? "one" : "two", 100));
    }
    for (core::request_id id = 1; id <= 10; ++id) {
        cr_assert_eq(queue.pop(always)->request, id);
    }
}
