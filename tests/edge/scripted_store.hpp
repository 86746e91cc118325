#pragma once

#include "edge/edge_node.hpp"

#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// A store whose reads are answered by the test. To be used on one thread.
class scripted_store : public gooseberryfall::edge::store {
public:
    using page_callback = gooseberryfall::edge::store_callback<gooseberryfall::edge::log_page>;

    /// A read that waits for its answer.
    struct pending_read {
        /// Unset if it reads the newest record of each key.
        std::optional<std::uint64_t> offset;
        std::optional<std::string> after_key;
        std::chrono::milliseconds timeout{0};
        page_callback done;
    };

    void append(const gooseberryfall::edge::topic_partition&,
                const std::vector<gooseberryfall::edge::keyed_record>&,
                const std::optional<gooseberryfall::edge::log_writer>&,
                gooseberryfall::edge::store_callback<std::uint64_t>) override
    {
    }
    void read(const gooseberryfall::edge::topic_partition&, std::uint64_t offset,
              std::chrono::milliseconds timeout, page_callback done) override
    {
        reads.push_back({offset, std::nullopt, timeout, std::move(done)});
    }
    void read_latest(const gooseberryfall::edge::topic_partition&,
                     const std::optional<std::string>& after_key, std::chrono::milliseconds timeout,
                     page_callback done) override
    {
        reads.push_back({std::nullopt, after_key, timeout, std::move(done)});
    }
    void join(const std::string&, const std::string&, const std::vector<std::string>&,
              std::chrono::milliseconds, std::uint64_t,
              gooseberryfall::edge::store_callback<gooseberryfall::edge::group_assignment>) override
    {
    }
    void leave(const std::string&, const std::string&,
               gooseberryfall::edge::store_callback<bool>) override
    {
    }
    void use_relay(gooseberryfall::edge::store_relay) override {}
    void handle_relayed(gooseberryfall::http::request,
                        std::shared_ptr<gooseberryfall::http::responder>) override
    {
    }

    /// Answers the oldest read. Precondition: a read waits.
    void answer(gooseberryfall::edge::store_result<gooseberryfall::edge::log_page> page)
    {
        const pending_read oldest = std::move(reads.front());
        reads.pop_front();
        oldest.done(std::move(page));
    }

    std::deque<pending_read> reads;
};
