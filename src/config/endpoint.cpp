#include "config/endpoint.hpp"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace gooseberryfall::config {

namespace {

bool is_address_in_family(int family, const std::string& text)
{
    std::array<unsigned char, sizeof(in6_addr)> storage{};
    return text.find('\0') == std::string::npos &&
           inet_pton(family, text.c_str(), storage.data()) == 1;
}

std::optional<std::uint16_t> parse_port(const std::string& text)
{
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto [parsed_end, error] = std::from_chars(text.data(), end, port);
    if (error != std::errc{} || parsed_end != end) {
        return std::nullopt;
    }
    return port;
}

} // namespace

bool is_ip_address(const std::string& text)
{
    return is_address_in_family(AF_INET, text) || is_address_in_family(AF_INET6, text);
}

bool is_wildcard(const ip_endpoint& value)
{
    return value.address == "0.0.0.0" || value.address == "::";
}

std::optional<ip_endpoint> parse_endpoint(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::string address = text.substr(0, colon);
    const bool bracketed = address.size() > 2 && address.front() == '[' && address.back() == ']';
    if (bracketed) {
        address = address.substr(1, address.size() - 2);
    }
    const auto port = parse_port(text.substr(colon + 1));
    if (!port || !is_address_in_family(bracketed ? AF_INET6 : AF_INET, address)) {
        return std::nullopt;
    }
    return ip_endpoint{address, *port};
}

std::string to_text(const ip_endpoint& value)
{
    const bool bracketed = value.address.find(':') != std::string::npos;
    const std::string address = bracketed ? "[" + value.address + "]" : value.address;
    return address + ":" + std::to_string(value.port);
}

} // namespace gooseberryfall::config
