/// Tests the encoding of scrapes as remote write requests.
#include "remote_write/series_encoder.hpp"

#include "tests/durable_queue_fixture.hpp"

namespace plumkeel::remote_write {
namespace {

TEST(SeriesEncoder, EndedSeriesGetsOneStalenessMarker) {
    SeriesEncoder encoder(1);
    EXPECT_EQ(encoder.encode({make_sample("m", 1, 5), make_sample("m", 2, 6)}, 1000)[0].samples, 2u);
    const auto second_scrape = encoder.encode({make_sample("m", 1, 7)}, 2000);
    EXPECT_EQ(second_scrape[0].samples, 2u);
    const double marker = stale_marker();
    EXPECT_NE(second_scrape[0].bytes.find(std::string(reinterpret_cast<const char*>(&marker), sizeof marker)),
              std::string::npos);
    EXPECT_EQ(encoder.encode({make_sample("m", 1, 8)}, 3000)[0].samples, 1u);
    EXPECT_EQ(encoder.encode_end(4000)[0].samples, 1u);
    EXPECT_EQ(encoder.series(), 0u);
}

}  // namespace
}  // namespace plumkeel::remote_write
