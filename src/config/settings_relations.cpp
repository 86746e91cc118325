#include "config/settings_relations.hpp"

#include "config/units.hpp"

namespace gooseberryfall::config {

namespace {

/// Collects problems and adds the line numbers of the settings.
class relation_checker {
public:
    explicit relation_checker(const std::vector<raw_table>& tables) : tables_(tables) {}

    /// Adds a problem with a setting, given by section and name, if `condition` is false.
    void require(bool condition, const std::string& section, const std::string& name,
                 const std::string& text)
    {
        if (!condition) {
            problems_.push_back({"", line_of(section, name), section + "." + name, text});
        }
    }

    problem_list take_problems() { return std::move(problems_); }

private:
    std::uint32_t line_of(const std::string& section, const std::string& name) const
    {
        for (const raw_table& table : tables_) {
            if (table.name == section) {
                return table.line_of(name);
            }
        }
        return 1;
    }

    const std::vector<raw_table>& tables_;
    problem_list problems_;
};

std::string append_duration(const char* text, std::chrono::nanoseconds value)
{
    return text + (" (" + format_duration(value) + ")");
}

void check_durations(const daemon_settings& settings, relation_checker& checker)
{
    const core::node_settings& node = settings.node;
    const auto half_currency_bound = node.currency_bound / 2;
    const std::string half_bound_text =
        append_duration("must be at most half of currency.bound", half_currency_bound);
    checker.require(settings.platform.read_wait <= half_currency_bound, "platform", "read_wait",
                    half_bound_text);
    checker.require(node.members.probe_interval <= half_currency_bound, "peers", "probe_interval",
                    half_bound_text);
    checker.require(node.members.silence_bound >= 2 * node.members.probe_interval, "peers",
                    "silence_bound",
                    append_duration("must be at least twice peers.probe_interval",
                                    2 * node.members.probe_interval));
    checker.require(
        settings.platform.call_timeout > settings.platform.read_wait, "platform", "call_timeout",
        append_duration("must be above platform.read_wait", settings.platform.read_wait));
    const auto clock_margin_min = (node.currency_bound + node.grant_lifetime) / 100;
    checker.require(node.clock_margin >= clock_margin_min, "currency", "clock_margin",
                    append_duration("must be at least 1% of currency.bound + limits.grant_lifetime",
                                    clock_margin_min));
    checker.require(node.token_wait <= node.queue_wait, "limits", "token_wait",
                    append_duration("must be at most queue.wait", node.queue_wait));
    checker.require(
        node.routing.suspect_limit >= node.routing.suspect_time, "routing", "suspect_limit",
        append_duration("must be at least routing.suspect_time", node.routing.suspect_time));
}

void check_listener(const listener_settings& listener, const std::string& section,
                    relation_checker& checker)
{
    const bool is_reachable = listener.advertise.has_value() || !is_wildcard(listener.listen);
    checker.require(is_reachable, section, "listen",
                    "needs " + section + ".advertise, because nobody can connect to " +
                        listener.listen.address);
    checker.require(!listener.advertise || !is_wildcard(*listener.advertise), section, "advertise",
                    "must be an address that others can connect to");
}

void check_addresses(const daemon_settings& settings, relation_checker& checker)
{
    check_listener(settings.callers, "callers", checker);
    check_listener(settings.peers, "peers", checker);
    const auto is_same_endpoint = [](const ip_endpoint& a, const ip_endpoint& b) {
        return a.port != 0 && a == b;
    };
    checker.require(!is_same_endpoint(settings.peers.listen, settings.callers.listen), "peers",
                    "listen", "must not be the same as callers.listen");
    checker.require(!is_same_endpoint(settings.operators, settings.callers.listen), "operators",
                    "listen", "must not be the same as callers.listen");
    checker.require(!is_same_endpoint(settings.operators, settings.peers.listen), "operators",
                    "listen", "must not be the same as peers.listen");
    checker.require(!settings.platform.addresses.empty(), "platform", "addresses",
                    "must name at least one address");
}

} // namespace

problem_list check_relations(const daemon_settings& settings, const std::vector<raw_table>& tables)
{
    relation_checker checker(tables);
    check_durations(settings, checker);
    check_addresses(settings, checker);
    const bool both_or_neither = settings.tls.certificate.empty() == settings.tls.key.empty();
    checker.require(both_or_neither, "tls", settings.tls.key.empty() ? "key" : "certificate",
                    "missing; tls.certificate and tls.key are set together or not at all");
    return checker.take_problems();
}

} // namespace gooseberryfall::config
