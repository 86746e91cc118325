#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace gooseberryfall::http {

/// What reserved bytes are used for.
enum class memory_kind {
    /// Heads and bodies of requests, until their response has ended.
    requests,
    /// Bytes of a head that has not arrived completely.
    heads,
};
constexpr std::size_t memory_kind_count = 2;

/// Name of the kind in metrics. Thread-safe.
const char* to_text(memory_kind kind);

/// Counts the bytes that clients make this process keep, by kind and by group of clients, against a
/// fixed capacity. Addresses clients that each stay within their limit and together exceed the
/// memory of the machine. No I/O. To be used on one thread only; kept alive by its reservations.
class memory_account : public std::enable_shared_from_this<memory_account> {
public:
    /// Bytes of one request. Gives them back when it is destroyed.
    class reservation {
    public:
        reservation() = default;
        reservation(std::shared_ptr<memory_account> account, memory_kind kind, std::string group);
        ~reservation();
        reservation(const reservation&) = delete;
        reservation& operator=(const reservation&) = delete;
        reservation(reservation&& other) noexcept;
        reservation& operator=(reservation&& other) noexcept;

        /// Changes the number of reserved bytes. Returns false and changes nothing if more are
        /// wanted and `limit` bytes of the whole account would be exceeded.
        bool resize(std::size_t bytes, std::size_t limit);
        /// Gives all bytes back.
        void release();

        std::size_t bytes() const { return bytes_; }
        const std::string& group() const { return group_; }

    private:
        std::shared_ptr<memory_account> account_;
        memory_kind kind_ = memory_kind::requests;
        std::string group_;
        std::size_t bytes_ = 0;
    };

    explicit memory_account(std::size_t capacity) : capacity_(capacity) {}

    std::size_t capacity() const { return capacity_; }
    std::size_t used() const { return used_; }
    std::size_t used(memory_kind kind) const;
    std::size_t group_used(const std::string& group) const;

private:
    void change(memory_kind kind, const std::string& group, std::size_t before, std::size_t after);

    std::size_t capacity_;
    std::size_t used_ = 0;
    std::array<std::size_t, memory_kind_count> by_kind_{};
    /// Contains only groups that have reserved bytes.
    std::map<std::string, std::size_t> by_group_;
};

} // namespace gooseberryfall::http
