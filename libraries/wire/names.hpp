/// Texts in messages, with their longest permitted lengths.
#pragma once

#include "libraries/wire/bounded.hpp"

namespace burdockstep::wire {

/// A name. Names in the settings and in the configuration document have at most 63 bytes.
using name_text = bounded_text<63>;
/// A name in the platform's registry, whose keys have at most 200 bytes.
using registry_text = bounded_text<200>;
/// The text of a configuration document.
using document_text = bounded_text<4 * 1024 * 1024>;

} // namespace burdockstep::wire
