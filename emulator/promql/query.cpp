#include "emulator/promql/query.hpp"

#include "emulator/promql/parser.hpp"

namespace plumkeel::promql {

Query::Query(std::string_view text) : expression_(parse(text)) {}

}  // namespace plumkeel::promql
