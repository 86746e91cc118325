#pragma once

#include "process/process_deployment.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// The key with which all jobs of these tests are submitted.
inline constexpr const char* job_team_key = "key-namur";

/// Body of a job. The text of item I is `<NAME item I>`, so that the engines' records tell which
/// item of which job each request was.
std::string job_lines(const std::string& name, std::uint32_t items, std::uint32_t tokens);

/// Submits a body as a job under an idempotency key.
gooseberryfall::http::call_result submit_lines(const process_deployment& deployment,
                                               std::uint32_t instance, const std::string& job_key,
                                               const std::string& lines, bool repeatable = true);

/// Submits like a client that sends the whole job again until it is accepted, to each instance in
/// turn; returns the job's id, empty at the limit.
std::string submit_until_accepted(process_deployment& deployment, std::uint32_t instances,
                                  const std::string& job_key, const std::string& lines,
                                  bool repeatable = true);

/// Number of the instance that holds the job's partition, as the instance `asked` knows it.
std::optional<std::uint32_t> holder_of(const process_deployment& deployment, std::uint32_t asked,
                                       const std::string& job);

/// How often the engines saw each item of a job.
std::map<std::uint32_t, std::uint32_t>
times_seen(const std::vector<process_deployment::seen_request>& seen, const std::string& name);

/// Waits until the engines have seen that many requests of a job.
bool wait_until_seen(const process_deployment& deployment, const std::string& name,
                     std::size_t count);

/// The job's results as text, all pages, asked again while the instance cannot tell.
std::string results_text(const process_deployment& deployment, std::uint32_t instance,
                         const std::string& job);

/// Checks that the results hold each index of 0 to items - 1 once and in order;
/// returns what is wrong, or nothing.
std::string check_results(const std::string& results, std::uint32_t items);

/// Text of the first item that was not seen exactly once; empty if there is none.
std::string check_seen_once(const process_deployment& deployment, const std::string& name,
                            std::uint32_t items);
