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
        std::string topic;
        /// Unset if it reads the newest record of each key.
        std::optional<std::uint64_t> offset;
        std::optional<std::string> after_key;
        std::chrono::milliseconds timeout{0};
        page_callback done;
    };

    void append(const gooseberryfall::edge::topic_partition& partition,
                const std::vector<gooseberryfall::edge::keyed_record>& records,
                const std::optional<gooseberryfall::edge::log_writer>&,
                gooseberryfall::edge::store_callback<std::uint64_t> done) override
    {
        appends.push_back({partition.topic, records, std::move(done)});
    }
    void read(const gooseberryfall::edge::topic_partition& partition, std::uint64_t offset,
              std::chrono::milliseconds timeout, page_callback done) override
    {
        reads.push_back({partition.topic, offset, std::nullopt, timeout, std::move(done)});
    }
    void read_latest(const gooseberryfall::edge::topic_partition& partition,
                     const std::optional<std::string>& after_key, std::chrono::milliseconds timeout,
                     page_callback done) override
    {
        reads.push_back({partition.topic, std::nullopt, after_key, timeout, std::move(done)});
    }
    void
    join(const std::string&, const std::string&, const std::vector<std::string>&,
         std::chrono::milliseconds, std::uint64_t,
         gooseberryfall::edge::store_callback<gooseberryfall::edge::group_assignment> done) override
    {
        joins.push_back(std::move(done));
    }
    void leave(const std::string&, const std::string&,
               gooseberryfall::edge::store_callback<bool> done) override
    {
        done(true);
    }
    void use_relay(gooseberryfall::edge::store_relay) override {}
    void handle_relayed(gooseberryfall::http::request,
                        std::shared_ptr<gooseberryfall::http::responder>) override
    {
    }

    /// An append that waits for its answer.
    struct pending_append {
        std::string topic;
        std::vector<gooseberryfall::edge::keyed_record> records;
        gooseberryfall::edge::store_callback<std::uint64_t> done;
    };

    /// Answers the oldest read. Precondition: a read waits.
    void answer(gooseberryfall::edge::store_result<gooseberryfall::edge::log_page> page)
    {
        const pending_read oldest = std::move(reads.front());
        reads.pop_front();
        oldest.done(std::move(page));
    }

    std::deque<pending_read> reads;
    std::deque<pending_append> appends;
    /// Joins that wait for their answer.
    std::deque<gooseberryfall::edge::store_callback<gooseberryfall::edge::group_assignment>> joins;
};
