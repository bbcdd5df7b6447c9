/// What readers of the platform's store do with answers when the store may have returned from an
/// older copy.
#pragma once

#include "libraries/core/store_position.hpp"

namespace burdockstep {

/// How an answer is used.
enum class answer_use
{
    apply,
    read_whole_table, ///< The changes in it belong to a history that the reader doesn't know.
    repeat_call       ///< It belongs to a history that has been replaced since.
};

/// Whether an answer has the content of a whole table or the changes after a position.
enum class answer_scope
{
    whole_table,
    changes
};

/// Returns how a reader that knows its table up to `known` uses an answer. `newest` is the newest
/// era that an answer or another entry has stated.
answer_use use_of_answer(store_position known, store_era newest, store_position answered,
                         answer_scope scope);

} // namespace burdockstep
