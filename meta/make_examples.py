#!/usr/bin/env python3
"""Generates the deployment documents and the daemon settings in examples/."""
import pathlib

ROOT = pathlib.Path(__file__).resolve().parent.parent / "examples"

DEPLOYMENTS = {
    "armor": {
        "base": 21000,
        "network": 11,
        "delays": (3, 5, 12),
        "link": 280,
        "regions": {"finistere": ["brest", "quimper"],
                    "morbihan": ["vannes", "lorient"],
                    "ille": ["rennes", "vitre"]},
        "services": [("levels", "short", "true", 2000, 9, 3),
                     ("transfers", "short", "false", 5000, 8, 3),
                     ("sheets", "long", "true", 60000, 3, 3),
                     ("ledgers", "long", "true", 60000, 2, 3)],
    },
    "chuong-chung": {
        "base": 22000,
        "network": 12,
        "delays": (1, 4, 55),
        "link": 4000,
        "regions": {"bac": ["ha-noi", "hai-phong"],
                    "trung": ["hue", "da-nang"],
                    "nam": ["sai-gon", "can-tho"]},
        "services": [("listings", "short", "true", 2000, 9, 8),
                     ("bookings", "short", "false", 5000, 8, 4),
                     ("bundles", "long", "true", 60000, 3, 3),
                     ("histories", "long", "true", 60000, 2, 8)],
    },
}


def document_text(name, deployment):
    regions = deployment["regions"]
    lines = ["# Example document. Apply it with 'burdockstep apply'.",
             "[deployment]", f'name = "{name}"',
             "regions = [" + ", ".join(f'"{r}"' for r in regions) + "]", "",
             "[delays]"]
    for key, value in zip(("to_callers_ms", "between_places_ms", "between_regions_ms"),
                          deployment["delays"]):
        lines.append(f"{key} = {value}")
    for region, places in regions.items():
        for place in places:
            lines += ["", "[[place]]", f'name = "{place}"', f'region = "{region}"',
                      "cap_percent = 100"]
    names = list(regions)
    for i, first in enumerate(names):
        for second in names[i + 1:]:
            lines += ["", "[[link]]", f'from = "{first}"', f'to = "{second}"',
                      f'megabits_per_second = {deployment["link"]}']
    port = deployment["base"]
    for service, kind, idempotent, deadline, priority, slots in deployment["services"]:
        lines += ["", "[[service]]", f'name = "{service}"', f'class = "{kind}"',
                  f"idempotent = {idempotent}", f"deadline_ms = {deadline}",
                  "shift_cap_percent = 20", "shift_interval_ms = 2000",
                  f"priority = {priority}"]
        for places in regions.values():
            for place in places:
                addresses = ", ".join(f'"127.0.0.1:{port + n}"' for n in range(2))
                port += 2
                lines += ["", "[[upstreams]]", f'service = "{service}"', f'place = "{place}"',
                          f"slots = {slots}", f"addresses = [{addresses}]"]
    lines += ["", "# A planned drain: the place gets no new requests while this stands here.",
              "# [[drain]]", '# scope = "place"', f'# name = "{list(regions.values())[0][1]}"',
              '# reason = "new switches"']
    return "\n".join(lines) + "\n"


def settings_texts(name, deployment):
    places = [(place, region) for region, region_places in deployment["regions"].items()
              for place in region_places]
    entries = []
    for index in range(9):
        region = list(deployment["regions"])[index // 3]
        region_places = deployment["regions"][region]
        place = region_places[index % 3 % 2]
        entries.append((f"{name}-{index + 1}", place, region,
                        f"127.0.{deployment['network']}.{index + 1}"))
    assert len(places) == 6
    seeds = ", ".join(f'"{ip}:7003"' for _, _, _, ip in entries)
    for instance, place, region, ip in entries:
        text = "\n".join(["[instance]", f'name = "{instance}"', f'place = "{place}"',
                          f'region = "{region}"', f'callers = "{ip}:7001"',
                          f'operators = "{ip}:7002"', f'peers = "{ip}:7003"', "",
                          "[platform]",
                          f'address = "127.0.{deployment["network"]}.100:7000"', ""])
        yield instance, f"seeds = [{seeds}]\n\n" + text


for name, deployment in DEPLOYMENTS.items():
    folder = ROOT / name
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "deployment.toml").write_text(document_text(name, deployment))
    for instance, text in settings_texts(name, deployment):
        (folder / f"{instance}.toml").write_text(text)
