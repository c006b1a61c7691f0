// plumkeel-day: plays a scripted day on sockets and judges it.
#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>

#include "emulator/day.hpp"

int main(int argc, char** argv) {
    using namespace plumkeel;
    CLI::App app("plumkeel-day: plays a day on loopback sockets; the last line is the verdict");
    std::string script, bench_day, folder = "runs/day", length = "20s";
    std::string programs = std::filesystem::canonical("/proc/self/exe").parent_path();
    bool quiet = false;
    app.add_option("script", script, "Jsonnet script of a day");
    app.add_option("--bench-day", bench_day, "a day file of the bench, scaled down");
    app.add_option("--length", length, "of a bench day")->capture_default_str();
    app.add_option("--folder", folder, "for settings, records and logs; emptied first")->capture_default_str();
    app.add_option("--programs", programs, "where plumkeel and plumkeel-stand are");
    app.add_flag("--quiet", quiet, "only the verdict");
    CLI11_PARSE(app, argc, argv);
    try {
        if (script.empty() == bench_day.empty()) throw ConfigError("a script or --bench-day, just one of them");
        const emulator::DayPlan plan =
            script.empty() ? emulator::read_bench_day(bench_day, parse_duration(length)) : emulator::read_day(script);
        const emulator::Verdict verdict = emulator::play_day(plan, folder, programs, !quiet);
        for (const emulator::Breach& each : verdict.breaches)
            std::cout << "breach: " << each.rule << ": " << each.request << " at " << static_cast<double>(each.at) / 1e6
                      << " s: " << each.what << '\n';
        std::cout << "hops " << verdict.attempts << ", effects " << verdict.effects << ", clients left " << verdict.left
                  << ", turned back " << verdict.turned_back << ", lost with a killed or frozen controller "
                  << verdict.lost_with_controller << ", nearest to pushing a cold invoker over "
                  << static_cast<int>(verdict.nearest_push * 100) << "%\n";
        std::cout << verdict.line() << '\n';
        return verdict.breaches.empty() ? 0 : 1;
    } catch (const std::exception& fault) {
        std::cerr << "plumkeel-day: " << fault.what() << '\n';
        return 2;
    }
}
