#include "cli/cli.hpp"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

namespace {

gooseberryfall::cli::environment read_environment()
{
    gooseberryfall::cli::environment variables;
    for (const char* name : {"GOOSEBERRYFALL_TOKEN", "USER", "LOGNAME"}) {
        if (const char* value = std::getenv(name)) {
            variables[name] = value;
        }
    }
    return variables;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        // Without this a closed pipe ends the process; the stream reports the failed write.
        std::signal(SIGPIPE, SIG_IGN);
        const std::vector<std::string> arguments(argv + 1, argv + argc);
        return gooseberryfall::cli::run(arguments, read_environment(), std::cout, std::cerr);
    }
    catch (const std::exception& error) {
        // A change may have been sent before the exception.
        std::cerr << "error: " << error.what() << "\nnext: run `gooseberryfall audit`\n";
        return static_cast<int>(gooseberryfall::cli::exit_code::outcome_unknown);
    }
}
