#pragma once

#include "targets/event_stream.hpp"
#include "targets/running_dispatch.hpp"

#include <tl/expected.hpp>

#include <string>

namespace gooseberryfall::targets {

/// A batch item at an engine. It is run as a stream, so that the text so far is there when it has
/// to yield.
class item_dispatch : public running_dispatch {
public:
    using running_dispatch::running_dispatch;

    void begin() override;

protected:
    http::flow on_answer(const http::response_head& head) override;
    http::flow on_piece(std::string piece) override;
    void on_done(const http::call_result& result, core::dispatch_finished& report) override;

private:
    const core::item_body& item() const { return std::get<core::item_body>(order_.body); }
    void on_body(const tl::expected<std::string, std::string>& body);

    /// The answer in the shape of a request that did not ask for a stream.
    std::string whole_answer() const;

    bool events_ = false;
    bool too_long_ = false;
    std::string collected_;
    event_stream stream_{true};
};

} // namespace gooseberryfall::targets
