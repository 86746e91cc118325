/// Fault soak test: runs real daemons under random faults that are determined by a seed.

#include "soak/soak_run.hpp"

#include <gflags/gflags.h>

#include <filesystem>
#include <iostream>

DEFINE_uint64(seed, 1, "Seed of the random faults and of the callers' requests");
DEFINE_int32(seconds, 20, "Seconds for which faults are injected");
DEFINE_int32(instances, 4, "Daemons");
DEFINE_int32(engines, 3, "Engines");
DEFINE_int32(callers, 6, "Number of callers that send requests concurrently");
DEFINE_bool(link_faults, true,
            "Whether to inject network faults: slow, reset, cut, one-way and silent links");
DEFINE_string(daemon, "", "Path of the daemon's program; required");
DEFINE_string(folder, "soak-logs", "Folder for settings and logs");

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("fault soak of the daemon on the platform\n"
                            "  gooseberryfall-soak --daemon=PROGRAM [--seed=N] [--seconds=N]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_daemon.empty()) {
        std::cerr << "--daemon=PROGRAM is missing; --help lists all flags" << std::endl;
        return 2;
    }
    gooseberryfall::soak::soak_options options;
    options.seed = FLAGS_seed;
    options.fault_duration = std::chrono::seconds(FLAGS_seconds);
    options.instances = static_cast<std::size_t>(FLAGS_instances);
    options.engines = static_cast<std::size_t>(FLAGS_engines);
    options.callers = static_cast<std::size_t>(FLAGS_callers);
    options.link_faults = FLAGS_link_faults;
    options.daemon_program = FLAGS_daemon;
    options.folder = FLAGS_folder + "/" + std::to_string(FLAGS_seed);
    std::filesystem::remove_all(options.folder);
    std::filesystem::create_directories(options.folder);
    std::cout << "seed " << FLAGS_seed << ", logs in " << options.folder << std::endl;
    gooseberryfall::soak::soak_run run(options);
    const auto violations = run.run();
    for (const std::string& violation : violations) {
        std::cout << "BROKEN: " << violation << std::endl;
    }
    std::cout << "seed " << FLAGS_seed << ": " << violations.size() << " guarantees broken"
              << std::endl;
    return violations.empty() ? 0 : 1;
}
