#include "libraries/discovery/store_history.hpp"

namespace burdockstep {

answer_use use_of_answer(store_position known, store_era newest, store_position answered,
                         answer_scope scope)
{
    if (answered.era < known.era || answered.era < newest)
        return answer_use::repeat_call;
    bool const continues_known_history =
        scope == answer_scope::whole_table || answered.era == known.era;
    return continues_known_history ? answer_use::apply : answer_use::read_whole_table;
}

} // namespace burdockstep
