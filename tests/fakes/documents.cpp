#include "tests/fakes/documents.hpp"

namespace burdockstep::testing {

std::string sample_deployment()
{
    return R"([deployment]
name = "small"
regions = ["armor", "ille"]

[delays]
to_callers_ms = 1
between_places_ms = 2
between_regions_ms = 5

[[place]]
name = "brest"
region = "armor"
cap_percent = 90

[[place]]
name = "vannes"
region = "ille"

[[link]]
from = "armor"
to = "ille"
megabits_per_second = 280

[[service]]
name = "levels"
class = "short"
idempotent = true
deadline_ms = 2000
shift_cap_percent = 20
shift_interval_ms = 1000

[[service]]
name = "transfers"
class = "short"
idempotent = false
deadline_ms = 2000
shift_cap_percent = 20
shift_interval_ms = 1000

[[upstreams]]
service = "levels"
place = "brest"
slots = 3
addresses = ["127.0.0.1:9001", "127.0.0.1:9002"]

[[upstreams]]
service = "levels"
place = "vannes"
slots = 3
addresses = ["127.0.0.1:9003", "127.0.0.1:9004"]

[[upstreams]]
service = "transfers"
place = "brest"
slots = 2
addresses = ["127.0.0.1:9005"]

[[upstreams]]
service = "transfers"
place = "vannes"
slots = 2
addresses = ["127.0.0.1:9006"]

[[clients]]
region = "ille"
blocks = ["10.1.0.0/16", "10.2.3.0/24"]
)";
}

} // namespace burdockstep::testing
