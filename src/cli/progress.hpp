// How far long work has come, on the terminal where there is one, else nothing.
#pragma once

#include <string>

namespace plumkeel::cli {

class Progress {
public:
    explicit Progress(std::string what);
    ~Progress();  // wipes the line
    Progress(const Progress&) = delete;
    void at(double part);  // from 0 to 1; draws when a whole part in a hundred more is done

private:
    const std::string what_;
    const bool shown_;
    int drawn_ = -1;
};

}  // namespace plumkeel::cli
