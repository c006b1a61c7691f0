#include "remote_write/exporter.hpp"

#include <utility>

#include "remote_write/export_worker.hpp"

namespace plumkeel::remote_write {

Exporter::Exporter(ExporterConfig config, MetricCollector collect, ExportListener listener)
    : worker_(std::make_unique<ExportWorker>(std::move(config), std::move(collect), std::move(listener))),
      thread_([worker = worker_.get()] { worker->run(); }) {}

Exporter::~Exporter() {
    worker_->request_stop();
    thread_.join();
}

}  // namespace plumkeel::remote_write
