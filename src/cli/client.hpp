// The commands that talk to a running controller.
#pragma once

#include <string>

namespace plumkeel::cli {

struct Job {
    std::string function, request_class, body, tenant, mark, time_left = "4s";
    int lanes = 1, memory = 0;
    bool again{};
};

// Each returns the exit status: 0 well; 3 bounced, 4 written off, 5 turned back at the door; 1 no answer.
int status(const std::string& at);
int send(const std::string& at, const Job& request);

}  // namespace plumkeel::cli
