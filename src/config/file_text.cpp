#include "config/file_text.hpp"

#include <fstream>
#include <iterator>

namespace gooseberryfall::config {

checked<std::string> read_file(const std::string& file)
{
    std::ifstream stream(file, std::ios::binary);
    std::string text(std::istreambuf_iterator<char>(stream), {});
    if (!stream.is_open() || stream.bad()) {
        return tl::unexpected(problem_list{{file, 0, "", "the file cannot be read"}});
    }
    return text;
}

} // namespace gooseberryfall::config
