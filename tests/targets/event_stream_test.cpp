#include "targets/event_stream.hpp"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using gooseberryfall::targets::event_stream;

namespace {

const std::string whole = "data: {\"choices\":[{\"delta\":{\"content\":\"one \"}}]}\n\n"
                          "data: {\"choices\":[{\"delta\":{\"content\":\"two\"}}]}\r\n\r\n"
                          "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],"
                          "\"usage\":{\"completion_tokens\":7}}\n\ndata: [DONE]\n\n";

} // namespace

// Guards against events that are lost or doubled where the network cuts the stream.
Test(event_stream, reads_the_same_at_every_cut)
{
    for (std::size_t cut = 0; cut <= whole.size(); ++cut) {
        event_stream stream(true);
        stream.feed(whole.substr(0, cut));
        stream.feed(whole.substr(cut));
        cr_assert(stream.done(), "cut at %zu", cut);
        cr_assert_str_eq(stream.text().c_str(), "one two");
        cr_assert_str_eq(stream.finish_reason().c_str(), "stop");
        cr_assert_eq(stream.tokens(), 7U);
        cr_assert_not(stream.failed());
    }
}

// Guards against a truncated stream that passes for a whole one.
Test(event_stream, is_done_only_at_the_end_mark)
{
    const std::size_t mark = whole.find("[DONE]");
    event_stream stream(true);
    stream.feed(whole.substr(0, mark + 5));
    cr_assert_not(stream.done());
    stream.feed("]");
    cr_assert_not(stream.done());
    stream.feed("\n");
    cr_assert(stream.done());
}

// Guards against a crash, or text made up, on answers that are no chat events.
Test(event_stream, survives_bad_input)
{
    const std::vector<std::string> bad{
        "data: {\n",
        "data: []\n",
        "data: null\n",
        "data: \"text\"\n",
        "data: {\"choices\":[]}\n",
        "data: {\"choices\":{}}\n",
        "data: {\"choices\":[1]}\n",
        "data: {\"choices\":[{\"delta\":3}]}\n",
        "data: {\"choices\":[{\"delta\":{\"content\":5}}]}\n",
        "data: {\"usage\":{\"completion_tokens\":-4}}\n",
        "data: {\"usage\":{\"completion_tokens\":\"many\"}}\n",
        "data:\n",
        "event: error\nid\n: comment\n\n\n",
        std::string(2000, 'x') + "\n",
        std::string("data: \0\n", 8),
    };
    for (const std::string& input : bad) {
        event_stream stream(true);
        stream.feed(input);
        cr_assert_not(stream.done());
        cr_assert(stream.text().empty());
        cr_assert_eq(stream.tokens(), 0U);
    }
}

// Guards against an engine that makes the daemon's memory grow with one endless line.
Test(event_stream, bounds_an_endless_line)
{
    event_stream stream(true);
    const std::string piece(64U << 10U, 'x');
    for (int count = 0; count < 100; ++count) {
        stream.feed(piece);
    }
    stream.feed("\n" + whole);
    cr_assert(stream.done());
    cr_assert_str_eq(stream.text().c_str(), "one two");
}

// Guards against an error event of the engine that counts as an answer.
Test(event_stream, notices_an_error_event)
{
    event_stream stream(true);
    stream.feed("data: {\"error\":{\"message\":\"out of memory\"}}\n\n");
    cr_assert(stream.failed());
}
