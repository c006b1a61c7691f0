#include "trace_analysis/chart.hpp"

#include <fmt/format.h>
#include <plplot/plplot.h>

#include <algorithm>
#include <array>
#include <fstream>

namespace plumkeel::trace_analysis {
namespace {

constexpr std::size_t most_columns = 150, most_invokers = 10, most_told = 16;
enum Colour : int { paper, ink, grey, honoured, late, bounced, written_off, abandoned, unfinished, first_invoker };

struct Rgb {
    int r, g, b;
};
constexpr std::array<Rgb, 19> colours = {{{255, 255, 255},
                                          {30, 30, 30},
                                          {150, 150, 150},
                                          {120, 180, 120},
                                          {225, 190, 70},
                                          {110, 150, 210},
                                          {190, 50, 50},
                                          {160, 160, 160},
                                          {215, 215, 215},
                                          {31, 119, 180},
                                          {255, 127, 14},
                                          {44, 160, 44},
                                          {214, 39, 40},
                                          {148, 103, 189},
                                          {140, 86, 75},
                                          {227, 119, 194},
                                          {90, 90, 90},
                                          {188, 189, 34},
                                          {23, 190, 207}}};

struct Column {  // some seconds together
    Outcomes ended;
    std::uint64_t parked{};
    std::map<std::string, std::uint64_t> attempts;
};

// PLplot takes '#' for the start of a command in a text.
std::string plain(std::string text) {
    for (std::size_t at = 0; (at = text.find('#', at)) != std::string::npos; at += 2) text.insert(at, "#");
    return text;
}

class Drawing {
public:
    Drawing(const Summary& summary, const std::string& title, const std::string& file) : summary_(summary) {
        const std::size_t seconds = summary.seconds().size();
        step_ = std::max<std::size_t>(1, (seconds + most_columns - 1) / most_columns);
        columns_.resize((seconds + step_ - 1) / step_);
        for (std::size_t i = 0; i < seconds; ++i) {
            const SecondStats& s = summary.seconds()[i];
            Column& c = columns_[i / step_];
            c.ended.add(s.ended);
            c.parked = std::max(c.parked, s.parked);
            for (const auto& [name, n] : s.attempts) c.attempts[name] += n;
        }
        plsdev("svg");
        plsfnam(file.c_str());
        plspage(0, 0, 1000, 1100, 0, 0);
        plscmap0n(static_cast<PLINT>(colours.size()));
        for (std::size_t i = 0; i < colours.size(); ++i)
            plscol0(static_cast<PLINT>(i), colours[i].r, colours[i].g, colours[i].b);
        plinit();
        pladv(0);
        plschr(0, 0.45);
        outcomes(title);
        parked();
        invokers();
        told_marks();
        plend();
    }

private:
    double width() const { return static_cast<double>(columns_.size() * step_); }

    void panel(double bottom, double top, double most, const char* what, bool last) {
        plvpor(0.09, 0.82, bottom, top);
        plwind(0, width(), 0, std::max(1.0, most * 1.08));
        plcol0(ink);
        plbox(last ? "bcnst" : "bcst", 0, 0, "bcnstv", 0, 0);
        plmtex("l", 6.5, 0.5, 0.5, what);
        if (last) plmtex("b", 3.2, 0.5, 0.5, "seconds since the trace began");
    }

    void marks(double most) {
        plcol0(grey);
        pllsty(2);
        double before = -1;
        for (const Annotation& mark : summary_.annotations()) {
            const double x = static_cast<double>(mark.at.count()) / 1e6;
            if (x - before < width() / 400) continue;  // one line for what falls together
            before = x;
            pljoin(x, 0, x, std::max(1.0, most * 1.08));
        }
        pllsty(1);
    }

    void box(double x0, double x1, double y0, double y1, int colour) {
        const PLFLT x[] = {x0, x1, x1, x0}, y[] = {y0, y0, y1, y1};
        plcol0(colour);
        plfill(4, x, y);
    }

    void key(double height, int row, int colour, const std::string& words) {
        plvpor(0.83, 1.0, 0.0, 1.0);
        plwind(0, 1, 0, 1);
        const double y = height - 0.018 * row;
        box(0, 0.06, y - 0.004, y + 0.006, colour);
        plcol0(ink);
        plptex(0.1, y, 1, 0, 0, plain(words).c_str());
    }

    void outcomes(const std::string& title) {
        double most = 0;
        for (const Column& c : columns_)
            most = std::max(most, static_cast<double>(c.ended.total()) / static_cast<double>(step_));
        panel(0.69, 0.95, most, "jobs ended a second", false);
        plmtex("t", 1.5, 0.5, 0.5, plain(title).c_str());
        for (std::size_t i = 0; i < columns_.size(); ++i) {
            const Outcomes& o = columns_[i].ended;
            double y = 0;
            const std::pair<std::uint64_t, int> parts[] = {{o.succeeded, honoured},  {o.late, late},
                                                           {o.rejected, bounced},    {o.failed, written_off},
                                                           {o.cancelled, abandoned}, {o.unfinished, unfinished}};
            for (const auto& [n, colour] : parts) {
                const double up = y + static_cast<double>(n) / static_cast<double>(step_);
                if (n) box(static_cast<double>(i * step_), static_cast<double>((i + 1) * step_), y, up, colour);
                y = up;
            }
        }
        marks(most);
        const char* words[] = {"honoured", "late", "bounced", "written off", "abandoned", "unfinished"};
        for (int i = 0; i < 6; ++i) key(0.94, i, honoured + i, words[i]);
    }

    void parked() {
        double most = 0;
        for (const Column& c : columns_) most = std::max(most, static_cast<double>(c.parked));
        panel(0.49, 0.66, most, "jobs parked", false);
        for (std::size_t i = 0; i < columns_.size(); ++i)
            if (columns_[i].parked)
                box(static_cast<double>(i * step_), static_cast<double>((i + 1) * step_), 0,
                    static_cast<double>(columns_[i].parked), bounced);
        marks(most);
    }

    void invokers() {
        std::vector<std::pair<std::uint64_t, std::string>> by_hops;
        for (const auto& [name, attempts] : summary_.invokers()) by_hops.emplace_back(attempts.sent, name);
        std::stable_sort(by_hops.begin(), by_hops.end(),
                         [](const auto& a, const auto& b) { return a.first > b.first; });
        if (by_hops.size() > most_invokers) by_hops.resize(most_invokers);
        double most = 0;
        for (const Column& c : columns_)
            for (const auto& [n, name] : by_hops)
                if (const auto it = c.attempts.find(name); it != c.attempts.end())
                    most = std::max(most, static_cast<double>(it->second) / static_cast<double>(step_));
        panel(0.24, 0.46, most, "hops sent a second", true);
        marks(most);
        plwidth(1.5);
        int colour = first_invoker;
        for (const auto& [n, name] : by_hops) {
            std::vector<PLFLT> x, y;
            for (std::size_t i = 0; i < columns_.size(); ++i) {
                const auto it = columns_[i].attempts.find(name);
                x.push_back((static_cast<double>(i) + 0.5) * static_cast<double>(step_));
                y.push_back(it == columns_[i].attempts.end()
                                ? 0
                                : static_cast<double>(it->second) / static_cast<double>(step_));
            }
            plcol0(colour++);
            plline(static_cast<PLINT>(x.size()), x.data(), y.data());
        }
        plwidth(1);
        for (std::size_t i = 0; i < by_hops.size(); ++i)
            key(0.45, static_cast<int>(i), first_invoker + static_cast<int>(i), by_hops[i].second);
    }

    void told_marks() {
        plvpor(0.05, 0.98, 0.0, 0.18);
        plwind(0, 1, 0, 1);
        plcol0(ink);
        const auto& all = summary_.annotations();
        for (std::size_t i = 0; i < std::min(all.size(), most_told); ++i) {
            const std::string words =
                fmt::format("{:.2f} s  {}", static_cast<double>(all[i].at.count()) / 1e6, all[i].what);
            plptex(i % 2 ? 0.52 : 0.04, 0.92 - 0.11 * static_cast<double>(i / 2), 1, 0, 0, plain(words).c_str());
        }
        if (all.size() > most_told)
            plptex(0.04, 0.03, 1, 0, 0, fmt::format("and {} further marks", all.size() - most_told).c_str());
    }

    const Summary& summary_;
    std::size_t step_{};
    std::vector<Column> columns_;
};

}  // namespace

void draw_summary(const Summary& summary, const std::string& title, const std::string& file) {
    if (summary.seconds().empty()) throw trace::TraceError("there is nothing to draw");
    if (!std::ofstream(file)) throw trace::TraceError(file + ": can't be written");  // PLplot would ask on the terminal
    Drawing(summary, title, file);
}

}  // namespace plumkeel::trace_analysis
