// Doctored records: each kind of breach is named, and a clean day is not.
#include "emulator/auditor.hpp"

#include <gtest/gtest.h>

namespace plumkeel::emulator {
namespace {

namespace json = boost::json;

class Doctored : public testing::Test {
protected:
    Doctored() {
        stated.attempts = 2;
        stated.request_classes["p"] = {"replayable", "everywhere", 0};
        stated.request_classes["r"] = {"referenced", "zone", 5'000'000};
        stated.request_classes["s"] = {"single_use", "everywhere", 0};
        stated.places = {{"i1", {"a", 0}}, {"i2", {"a", 0}}, {"i3", {"b", 1}}};
    }

    void line(const std::string& kind, const std::string& name, const std::string& text) {
        lines.emplace_back(kind, name, json::parse(text).as_object());
    }
    void sent(int id, std::int64_t ms, const std::string& use, const std::string& origin) {
        line("clients", "c",
             json::serialize(json::object{{"t", ms * 1000},
                                          {"e", "sent"},
                                          {"id", id},
                                          {"origin", origin},
                                          {"try", 0},
                                          {"to", "A"},
                                          {"use", use},
                                          {"left_us", 4'000'000},
                                          {"promised_us", 1'500'000}}));
    }
    void answer(int id, std::int64_t ms, const std::string& outcome, const std::string& origin,
                const std::string& request, int attempts) {
        line("clients", "c",
             json::serialize(json::object{{"t", ms * 1000},
                                          {"e", "answer"},
                                          {"id", id},
                                          {"origin", origin},
                                          {"outcome", outcome},
                                          {"controller", "k/1"},
                                          {"job", request},
                                          {"hops", std::to_string(attempts)}}));
    }
    void at(const std::string& invoker, std::int64_t ms, const std::string& event, const std::string& use,
            const std::string& origin, const std::string& request, int attempt, const std::string& word = "") {
        json::object o{
            {"t", ms * 1000},  {"e", event}, {"controller", "k/1"}, {"job", request}, {"hop", std::to_string(attempt)},
            {"function", "f"}, {"use", use}, {"origin", origin}};
        if (!word.empty()) o["word"] = word;
        line("invoker", invoker, json::serialize(o));
    }
    // One job, honoured in one hop.
    void honoured(int id, std::int64_t ms, const std::string& use = "p") {
        const std::string origin = "o" + std::to_string(id), request = std::to_string(id);
        sent(id, ms, use, origin);
        at("i1", ms + 1, "hop", use, origin, request, 0);
        at("i1", ms + 2, "run", use, origin, request, 0);
        at("i1", ms + 100, "answer", use, origin, request, 0, "honoured");
        answer(id, ms + 101, "honoured", origin, request, 1);
    }

    Verdict judge() {
        Auditor auditor(stated);
        for (const auto& [kind, name, object] : lines) auditor.read(kind, name, object);
        return auditor.judge();
    }
    void names(const std::string& rule, const std::string& words) {
        const Verdict verdict = judge();
        ASSERT_FALSE(verdict.breaches.empty()) << "nothing named";
        for (const Breach& each : verdict.breaches)
            if (each.rule == rule && each.what.find(words) != std::string::npos) return;
        FAIL() << "named instead: " << verdict.breaches[0].rule << ": " << verdict.breaches[0].what;
    }

    Stated stated;
    std::vector<std::tuple<std::string, std::string, json::object>> lines;
};

TEST_F(Doctored, AGoodDayIsKept) {
    honoured(1, 0);
    honoured(2, 10, "r");
    honoured(3, 20, "s");
    const Verdict verdict = judge();
    EXPECT_EQ(verdict.line(), "verdict: rules kept; jobs 3, honoured 3, bounced 0, written off 0, late 0");
}

TEST_F(Doctored, AnAnswerThatNeverCame) {
    sent(1, 0, "p", "o1");
    names("no job lost", "no end of it");
}

TEST_F(Doctored, AJobCutThoughItsControllerLived) {
    sent(1, 0, "p", "o1");
    answer(1, 50, "cut", "o1", "", 0);
    names("no job lost", "its controller lived");
}

TEST_F(Doctored, AJobCutWithItsControllerIsNoBreach) {
    sent(1, 0, "p", "o1");
    line("day", "day", R"({"t":40000,"e":"controller_killed","address":"A","us":5000})");
    answer(1, 50, "cut", "o1", "", 0);
    EXPECT_TRUE(judge().breaches.empty());
}

TEST_F(Doctored, TwoAnswers) {
    honoured(1, 0);
    answer(1, 150, "bounced", "o1", "1", 1);
    names("no job lost", "answered twice");
}

TEST_F(Doctored, AnAnswerAfterTheExpiry) {
    sent(1, 0, "p", "o1");
    answer(1, 4200, "bounced", "o1", "1", 0);
    names("no job lost", "after its expiry");
}

TEST_F(Doctored, AHopAfterTheFinalAnswer) {
    honoured(1, 0);
    at("i2", 400, "hop", "p", "o1", "1", 1);
    names("no job lost", "after the final answer");
}

TEST_F(Doctored, AFrozenControllerMayAnswerOnceItRuns) {
    sent(1, 0, "p", "o1");
    answer(1, 4290, "bounced", "o1", "1", 0);
    line("day", "day", R"({"t":4300000,"e":"controller_frozen","address":"A","us":400000})");
    EXPECT_TRUE(judge().breaches.empty());
}

TEST_F(Doctored, ASingleUseEffectTwice) {
    honoured(1, 0, "s");
    at("i2", 500, "run", "s", "o1", "9", 0);
    names("no effect twice", "single-use o1 ran at i1 and again at i2");
}

TEST_F(Doctored, ASingleUseHopThoughAnEarlierMayHaveRun) {
    sent(1, 0, "s", "o1");
    at("i1", 1, "hop", "s", "o1", "1", 0);
    at("i1", 50, "cut", "s", "o1", "1", 0);
    at("i2", 150, "hop", "s", "o1", "1", 1);
    answer(1, 200, "written-off", "o1", "1", 2);
    names("no effect twice", "may have run");
}

TEST_F(Doctored, ASingleUseHopAfterOneTurnedAwayIsKept) {
    sent(1, 0, "s", "o1");
    at("i1", 1, "hop", "s", "o1", "1", 0);
    at("i1", 2, "answer", "s", "o1", "1", 0, "turned-away");
    at("i2", 150, "hop", "s", "o1", "1", 1);
    at("i2", 151, "run", "s", "o1", "1", 1);
    at("i2", 180, "answer", "s", "o1", "1", 1, "honoured");
    answer(1, 200, "honoured", "o1", "1", 2);
    EXPECT_TRUE(judge().breaches.empty());
}

TEST_F(Doctored, ASingleUseBounceThoughItMayHaveRun) {
    sent(1, 0, "s", "o1");
    at("i1", 1, "hop", "s", "o1", "1", 0);
    at("i1", 50, "gone", "s", "o1", "1", 0);
    answer(1, 200, "bounced", "o1", "1", 1);
    names("no effect twice", "bounced though");
}

TEST_F(Doctored, AReferencedHopOutsideItsGroup) {
    sent(1, 0, "r", "o1");
    at("i1", 1, "hop", "r", "o1", "1", 0);
    at("i1", 50, "cut", "r", "o1", "1", 0);
    at("i3", 150, "hop", "r", "o1", "1", 1);
    answer(1, 200, "honoured", "o1", "1", 2);
    names("no effect twice", "left the group");
}

TEST_F(Doctored, AReferencedHopAfterItsMarkWasForgotten) {
    stated.request_classes["r"].remembered = 100'000;
    sent(1, 0, "r", "o1");
    at("i1", 1, "hop", "r", "o1", "1", 0);
    at("i1", 50, "cut", "r", "o1", "1", 0);
    at("i2", 350, "hop", "r", "o1", "1", 1);
    answer(1, 400, "honoured", "o1", "1", 2);
    names("no effect twice", "forgotten");
}

TEST_F(Doctored, AReferencedEffectOutsideItsGroup) {
    honoured(1, 0, "r");
    at("i3", 900, "run", "r", "o1", "7", 0);
    names("no effect twice", "outside its group");
}

TEST_F(Doctored, MoreHopsThanAllowed) {
    sent(1, 0, "p", "o1");
    for (int i = 0; i < 3; ++i) at("i1", 10 * i, "hop", "p", "o1", "1", i);
    answer(1, 100, "honoured", "o1", "1", 3);
    names("hops", "3 hops");
}

TEST_F(Doctored, TwoHopsAtOnceWhereForbidden) {
    stated.second_copies = false;
    sent(1, 0, "p", "o1");
    at("i1", 1, "hop", "p", "o1", "1", 0);
    at("i2", 200, "hop", "p", "o1", "1", 1);
    at("i1", 500, "gone", "p", "o1", "1", 0);
    answer(1, 600, "honoured", "o1", "1", 2);
    names("hops", "beside hop 0");
}

TEST_F(Doctored, AHopAfterADrainsGrace) {
    line("list", "l", R"({"t":0,"e":"told","to":"k/1","list":[["i1","ready",0]]})");
    line("list", "l", R"({"t":1000,"e":"told","to":"k/1","list":[["i1","drains",0]]})");
    honoured(1, 2500);
    names("drains kept", "after the grace");
}

TEST_F(Doctored, AHopToWhatTheListNoLongerNames) {
    line("list", "l", R"({"t":0,"e":"told","to":"k/1","list":[["i1","ready",0]]})");
    line("list", "l", R"({"t":1000,"e":"told","to":"k/1","list":[]})");
    honoured(1, 2500);
    names("drains kept", "after the grace");
}

TEST_F(Doctored, AnOrderAfterADrainsGrace) {
    line("list", "l", R"({"t":0,"e":"told","to":"k/1","list":[["i1","drains",0]]})");
    line("invoker", "i1", R"({"t":2500000,"e":"order","controller":"k/1","function":"f","copies":1})");
    names("drains kept", "an order");
}

TEST_F(Doctored, AHopWithinTheGraceOrAfterTheReturnIsKept) {
    line("list", "l", R"({"t":0,"e":"told","to":"k/1","list":[["i1","drains",0]]})");
    honoured(1, 1500);
    line("list", "l", R"({"t":3000000,"e":"told","to":"k/1","list":[["i1","ready",5]]})");
    honoured(2, 3500);
    EXPECT_TRUE(judge().breaches.empty());
}

TEST_F(Doctored, AColdInvokerPushedOver) {
    line("invoker", "i1",
         R"({"t":0,"e":"start","cold":true,"capacity":1,"cold_share":0.2,"cold_us":10000000,)"
         R"("multiple":2,"span_us":2000000,"mean_work_ms":100})");
    for (int i = 0; i < 20; ++i) honoured(i, 100 + i);
    names("no cold invoker pushed over", "of its budget");
}

TEST_F(Doctored, AnInvokerThatFell) {
    line("invoker", "i1",
         R"({"t":0,"e":"start","cold":true,"capacity":1,"cold_share":0.2,"cold_us":10000000,)"
         R"("multiple":2,"span_us":2000000,"mean_work_ms":100})");
    line("invoker", "i1", R"({"t":1000,"e":"fell"})");
    names("no cold invoker pushed over", "fell over");
}

TEST_F(Doctored, MoreOrdersThanTheRation) {
    stated.load_span = 5'000'000;
    stated.free_loads = 1;
    stated.loads_per_job = 0.5;
    line("day", "day", R"({"t":0,"e":"controller_started","name":"k","address":"A"})");
    honoured(1, 0);
    honoured(2, 10);
    line("invoker", "i1", R"({"t":1000000,"e":"order","controller":"k/1","function":"f","copies":1})");
    line("invoker", "i1", R"({"t":1100000,"e":"order","controller":"k/1","function":"g","copies":1})");
    EXPECT_TRUE(judge().breaches.empty());
    line("invoker", "i1", R"({"t":1200000,"e":"order","controller":"k/1","function":"h","copies":1})");
    names("loads rationed", "3 orders, 2.0 allowed");
}

}  // namespace
}  // namespace plumkeel::emulator
