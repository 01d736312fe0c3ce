// Provides valid tables for the tests of this folder.
#ifndef YUCCAFALL_TABLES_TESTS_FIXTURE_HPP
#define YUCCAFALL_TABLES_TESTS_FIXTURE_HPP

#include <string>

#include "tables/tables.hpp"

namespace yuccafall::tables::tests {

inline std::string const valid_routes = R"(# comment: č
- name: look-up
  host: shop.example
  path: /filters
  method: GET
  pool: catalogue
  deadline: 500ms
  idempotent: true
  work: short
- {name: upload, host: "*", path: /reports, method: POST, pool: reports,
   deadline: 2m, idempotent: false, work: long}
)";

inline std::string const valid_pools = R"(- name: catalogue
  service: catalogue
  slots: 6
  reserved_for_short: 2
  connections: 130
  queue: 50
  retry_budget: 20%
  data_centres: [local, lj-a]
- name: reports
  service: reports
  slots: 6
  reserved_for_short: 1
  connections: 130
  queue: 0
  retry_budget: 0%
  data_centres:
    - local
)";

inline table_texts valid_texts()
{
    return {valid_routes, valid_pools};
}

} // namespace yuccafall::tables::tests

#endif
