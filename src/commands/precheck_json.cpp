// Encodes what `precheck` finds as JSON.
#include "commands/precheck_json.hpp"

#include <string>

#include "core/overloaded.hpp"

namespace yuccafall::commands {

namespace {

using json = nlohmann::json;

json about(core::route_name const& it)
{
    return {{"route", it.value()}};
}

json about(core::service_name const& it)
{
    return {{"service", it.value()}};
}

json fields_to_json(std::vector<precheck::field_change> const& fields)
{
    auto array = json::array();
    for (auto const& it : fields)
    {
        array.push_back(
            {{"field", it.field}, {"before", it.before}, {"after", it.after}});
    }
    return array;
}

json named(char const* key, char const* name, json object)
{
    object[key] = name;
    return object;
}

json with_fields(json object, std::vector<precheck::field_change> const& fields)
{
    object["fields"] = fields_to_json(fields);
    return object;
}

json encode(precheck::finding const& finding)
{
    constexpr auto key = "finding";
    return std::visit(
        core::overloaded{
            [](precheck::unused_service const& it) {
                return named(key, "unused_service", about(it.service));
            },
            [](precheck::zero_weight_target const& it) {
                return named(key, "zero_weight_target", about(it.route));
            },
            [](precheck::unknown_route_kind const& it) {
                return named(key, "unknown_route_kind", about(it.route));
            },
            [](precheck::timeout_below_target const& it) {
                return named(key, "timeout_below_target", about(it.route));
            },
            [](precheck::too_many_attempts const& it) {
                return named(key, "too_many_attempts", about(it.route));
            },
            [](precheck::zero_target_latency const& it) {
                return named(key, "zero_target_latency", about(it.route));
            },
            [](precheck::zero_caller_limit const&) {
                return named(key, "zero_caller_limit", json::object());
            }},
        finding);
}

json encode(precheck::difference const& difference)
{
    constexpr auto key = "change";
    return std::visit(
        core::overloaded{
            [](precheck::version_not_higher const&) {
                return named(key, "version_not_higher", json::object());
            },
            [](precheck::route_added const& it) {
                return named(key, "route_added", about(it.route));
            },
            [](precheck::route_removed const& it) {
                return named(key, "route_removed", about(it.route));
            },
            [](precheck::route_changed const& it) {
                return with_fields(named(key, "route_changed", about(it.route)),
                                   it.fields);
            },
            [](precheck::service_added const& it) {
                return named(key, "service_added", about(it.service));
            },
            [](precheck::service_removed const& it) {
                return named(key, "service_removed", about(it.service));
            },
            [](precheck::service_changed const& it) {
                return with_fields(
                    named(key, "service_changed", about(it.service)),
                    it.fields);
            },
            [](precheck::limits_changed const& it) {
                return with_fields(named(key, "limits_changed", json::object()),
                                   it.fields);
            }},
        difference);
}

template <class Item>
json encode_all(std::vector<Item> const& items)
{
    auto array = json::array();
    for (auto const& it : items)
    {
        auto object = encode(it);
        object["message"] = precheck::to_text(it);
        array.push_back(std::move(object));
    }
    return array;
}

} // namespace

json to_json(std::vector<precheck::finding> const& findings)
{
    return encode_all(findings);
}

json to_json(std::vector<precheck::difference> const& differences)
{
    return encode_all(differences);
}

} // namespace yuccafall::commands
