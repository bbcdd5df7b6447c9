#include "libraries/http1/answer_limit.hpp"

namespace burdockstep::http1 {

char const* name_of(answer_limit limit)
{
    switch (limit) {
    case answer_limit::none:
        return "none";
    case answer_limit::head:
        return "head";
    case answer_limit::framing:
        return "framing";
    case answer_limit::body:
        return "body";
    case answer_limit::call:
        return "call";
    case answer_limit::together:
        return "together";
    }
    return "unknown";
}

} // namespace burdockstep::http1
