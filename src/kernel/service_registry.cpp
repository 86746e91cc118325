#include "kernel/service_registry.hpp"

namespace gooseberryfall::kernel {

service_registry::~service_registry()
{
    stop_all();
    for (auto name = order_.rbegin(); name != order_.rend(); ++name) {
        entries_.erase(*name);
    }
}

void service_registry::add_entry(const std::string& name,
                                 const std::vector<std::string>& dependencies,
                                 std::unique_ptr<service> added)
{
    assert(started_.empty());
    assert(added != nullptr);
    assert(!entries_.contains(name));
    names_.push_back(name);
    entries_.emplace(name, entry{dependencies, std::move(added)});
}

service* service_registry::find_entry(const std::string& name) const
{
    const auto found = entries_.find(name);
    return found == entries_.end() ? nullptr : found->second.instance.get();
}

tl::expected<void, start_error> service_registry::start_all()
{
    assert(started_.empty());
    auto order = start_order();
    if (!order) {
        return tl::make_unexpected(order.error());
    }
    order_ = *order;
    for (const std::string& name : order_) {
        const auto result = entries_.at(name).instance->start(*this);
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
        entries_.at(started_.back()).instance->stop();
        started_.pop_back();
    }
}

tl::expected<std::vector<std::string>, start_error> service_registry::start_order() const
{
    std::map<std::string, visit_state> states;
    std::vector<std::string> order;
    for (const std::string& name : names_) {
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
    if (state == visit_state::done) {
        return {};
    }
    if (state == visit_state::open) {
        return tl::make_unexpected(start_error{name, "depends on itself"});
    }
    state = visit_state::open;
    for (const std::string& dependency : entries_.at(name).dependencies) {
        if (!entries_.contains(dependency)) {
            return tl::make_unexpected(start_error{name, "needs unknown service " + dependency});
        }
        auto result = visit(dependency, states, order);
        if (!result) {
            return result;
        }
    }
    states[name] = visit_state::done;
    order.push_back(name);
    return {};
}

} // namespace gooseberryfall::kernel
