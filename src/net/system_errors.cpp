#include "system_errors.hpp"

#include <algorithm>
#include <array>
#include <boost/system/system_error.hpp>
#include <cerrno>

namespace lockgw {
namespace {

template <std::size_t Count>
bool is_one_of(const std::array<std::errc, Count>& conditions, const std::error_code& error) {
    return std::any_of(
        conditions.begin(), conditions.end(), [&](std::errc condition) { return error == condition; });
}

}  // namespace

bool is_shortage(const std::error_code& error) {
    static constexpr std::array shortages{std::errc::too_many_files_open,
        std::errc::too_many_files_open_in_system, std::errc::no_buffer_space, std::errc::not_enough_memory,
        std::errc::no_space_on_device, std::errc::address_not_available};
    return is_one_of(shortages, error);
}

bool is_transient(const std::error_code& error) {
    static constexpr std::array transient{std::errc::interrupted, std::errc::resource_unavailable_try_again,
        std::errc::io_error, std::errc::no_lock_available, std::errc::network_unreachable,
        std::errc::network_down, std::errc::connection_aborted};
    const bool over_quota = error.value() == EDQUOT && error.category() == std::system_category();
    return is_shortage(error) || is_one_of(transient, error) || over_quota;
}

std::error_code system_error_of(const std::exception& exception) {
    if (const auto* standard = dynamic_cast<const std::system_error*>(&exception)) return standard->code();
    const auto* boost_error = dynamic_cast<const boost::system::system_error*>(&exception);
    return boost_error != nullptr ? std::error_code(boost_error->code().value(), std::system_category())
                                  : std::error_code();
}

}  // namespace lockgw
