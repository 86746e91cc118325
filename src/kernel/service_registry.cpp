#include "kernel/service_registry.hpp"

namespace gooseberryfall::kernel {

service_registry::~service_registry()
{
    stop_all();
    for (auto name = last_start_order_.rbegin(); name != last_start_order_.rend(); ++name) {
        entries_.erase(*name);
    }
}

void service_registry::add_entry(const std::string& name,
                                 const std::vector<std::string>& dependencies,
                                 std::unique_ptr<service> new_service)
{
    assert(started_.empty());
    assert(new_service != nullptr);
    assert(!entries_.contains(name));
    registered_names_.push_back(name);
    entries_.emplace(name, entry{dependencies, std::move(new_service)});
}

service* service_registry::find_entry(const std::string& name) const
{
    const auto found = entries_.find(name);
    return found == entries_.end() ? nullptr : found->second.service_ptr.get();
}

tl::expected<void, start_error> service_registry::start_all()
{
    assert(started_.empty());
    auto order = start_order();
    if (!order) {
        return tl::make_unexpected(order.error());
    }
    last_start_order_ = *order;
    for (const std::string& name : last_start_order_) {
        const auto result = entries_.at(name).service_ptr->start(*this);
        if (!result) {
            stop_all();
            return tl::make_unexpected(start_error{name, result.error()});
        }
        started_.push_back(name);
    }
    return {};
}

void service_registry::stop_all()
{
    while (!started_.empty()) {
        entries_.at(started_.back()).service_ptr->stop();
        started_.pop_back();
    }
}

tl::expected<std::vector<std::string>, start_error> service_registry::start_order() const
{
    std::map<std::string, visit_state> states;
    std::vector<std::string> order;
    for (const std::string& name : registered_names_) {
        const auto result = visit(name, states, order);
        if (!result) {
            return tl::make_unexpected(result.error());
        }
    }
    return order;
}

tl::expected<void, start_error> service_registry::visit(const std::string& name,
                                                        std::map<std::string, visit_state>& states,
                                                        std::vector<std::string>& order) const
{
    visit_state& state = states[name];
    if (state == visit_state::visited) {
        return {};
    }
    if (state == visit_state::visiting) {
        return tl::make_unexpected(
            start_error{name, "circular dependency: the service depends on itself"});
    }
    state = visit_state::visiting;
    for (const std::string& dependency : entries_.at(name).dependencies) {
        if (!entries_.contains(dependency)) {
            return tl::make_unexpected(
                start_error{name, "depends on unregistered service " + dependency});
        }
        auto result = visit(dependency, states, order);
        if (!result) {
            return result;
        }
    }
    states[name] = visit_state::visited;
    order.push_back(name);
    return {};
}

} // namespace gooseberryfall::kernel
