#include "wire/control_codec.hpp"

#include "wire/control_conversion.hpp"
#include "wire/message_bytes.hpp"

namespace gooseberryfall::wire {

std::string encode_control_group(const std::vector<core::control_record>& records)
{
    capnp::MallocMessageBuilder message;
    auto list = message.initRoot<schema::ControlGroup>().initRecords(records.size());
    write_list(list, records, [](auto builder, const auto& record) { write(builder, record); });
    return to_bytes(message);
}

tl::expected<std::vector<core::control_record>, std::string>
decode_control_group(std::string_view bytes)
{
    return read_message<schema::ControlGroup>(
        bytes, group_bytes_limit, [](schema::ControlGroup::Reader root) {
            return read_list(root.getRecords(), [](auto record) { return read(record); });
        });
}

} // namespace gooseberryfall::wire
