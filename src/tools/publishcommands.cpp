#include "commands.h"

#include "commandsupport.h"
#include "vmclient.h"

#include <operators/declarations.h>
#include <operators/objectdiff.h>
#include <platform/publication.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <random>
#include <thread>

namespace Wasabistair::Tools {

using namespace Internal;
using Operators::Table;
using Platform::ObjectStore;

namespace {

constexpr std::int64_t pollMs = 50;

ExitCode printFaults(const std::vector<Operators::LocatedFault> &faults, OutputFormat format)
{
    if (format == OutputFormat::Table) {
        for (const Operators::LocatedFault &fault : faults) {
            std::cerr << Operators::toString(fault) << "\n";
        }
        return ExitCode::Faults;
    }
    Table table({"file", "line", "object", "field", "fault", "given", "hint"});
    for (const Operators::LocatedFault &fault : faults) {
        table.addRow({fault.file, std::to_string(fault.line), fault.fault.object, fault.fault.field, std::string(Steering::toString(fault.fault.kind)),
            fault.fault.given, fault.fault.hint});
    }
    print(table, format);
    return ExitCode::Faults;
}

/// Objects of the accepted generation; nullopt if nothing has been published yet.
Base::Result<std::optional<Steering::ObjectSet>> publishedObjects(ObjectStore &store, const Platform::VersionedHead &head)
{
    if (head.head.history.empty()) {
        return std::optional<Steering::ObjectSet>();
    }
    BOOST_LEAF_AUTO(manifest, store.get(Platform::partKey(head.head.current().manifestDigest)));
    const auto fetch = [&](const Platform::Part &part) -> std::optional<std::string> {
        const auto value = Platform::tryStore([&] { return store.get(Platform::partKey(part.digest)); });
        return value ? std::optional(value.value->value) : std::nullopt;
    };
    const auto decoded = Base::captureError<Platform::ContentError>([&] { return Platform::decodeContent(manifest.value, fetch); }, Platform::ContentError{});
    if (!decoded) {
        return Base::Leaf::new_error(Platform::PlatformError{Platform::PlatformFailure::MalformedAnswer, "content"});
    }
    return std::optional(*decoded.value);
}

std::string newToken()
{
    std::random_device device;
    std::string token;
    constexpr int words = 4;
    for (int i = 0; i < words; ++i) {
        token += std::to_string(device()) + "-";
    }
    return token;
}

/// Entry VMs that don't have @p generation in force; polls until there are none or @p waitMs is over.
std::vector<std::string> laggingVms(ObjectStore &store, std::uint64_t generation, std::int64_t waitMs)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(waitMs);
    const auto list = Platform::tryStore([&] { return store.vms(); });
    if (!list) {
        return {"(the list of VMs could not be read)"};
    }
    std::vector<Steering::Vm> unconfirmed = entryVms(*list.value);
    while (true) {
        const auto answers = queryVms(unconfirmed, "/v1/status", vmTimeoutMs);
        std::erase_if(unconfirmed, [&](const Steering::Vm &vm) {
            const auto found = answers.find(vm.id);
            return found != answers.end() && found->second.body.value("generation", std::uint64_t{0}) >= generation;
        });
        if (unconfirmed.empty() || std::chrono::steady_clock::now() >= end) {
            break;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(pollMs));
    }
    std::vector<std::string> lagging;
    for (const Steering::Vm &vm : unconfirmed) {
        lagging.push_back(vm.id);
    }
    return lagging;
}

ExitCode waitUntilInForce(ObjectStore &store, std::uint64_t generation, const CommandOptions &options)
{
    if (options.waitMs == 0) {
        return ExitCode::Ok;
    }
    const std::vector<std::string> lagging = laggingVms(store, generation, options.waitMs);
    if (lagging.empty()) {
        std::cout << "generation " << generation << " is in force on every entry VM\n";
        return ExitCode::Ok;
    }
    for (const std::string &vm : lagging) {
        std::cout << "not confirmed by " << vm << "\n";
    }
    return ExitCode::NotConfirmed;
}

} // namespace

ExitCode checkCommand(const std::string &directory, const CommandOptions &options)
{
    const Operators::Declarations declarations = Operators::loadDeclarations(directory);
    if (!declarations.faults.empty()) {
        return printFaults(declarations.faults, options.output);
    }
    std::cout << "no faults: " << declarations.objects.services.size() << " services, " << declarations.objects.places.size() << " places, "
              << declarations.objects.shifts.size() << " shifts, " << declarations.objects.plannedStops.size() << " planned stops, "
              << declarations.objects.clientBlocks.size() << " client blocks\n";
    return ExitCode::Ok;
}

ExitCode diffCommand(ObjectStore &store, const std::string &directory, const CommandOptions &options)
{
    const Operators::Declarations declarations = Operators::loadDeclarations(directory);
    if (!declarations.faults.empty()) {
        return printFaults(declarations.faults, options.output);
    }
    const auto head = Platform::tryStore([&] { return Platform::readHead(store); });
    if (!head) {
        return platformFailed(*head.error);
    }
    const auto before = Platform::tryStore([&] { return publishedObjects(store, *head.value); });
    if (!before) {
        return platformFailed(*before.error);
    }
    Table table({"change", "object", "field", "before", "after"});
    for (const auto &change : Operators::diffObjects(before.value->value_or(Steering::ObjectSet{}), declarations.objects)) {
        table.addRow({std::string(Operators::toString(change.kind)), change.object, change.field, change.before, change.after});
    }
    print(table, options.output);
    return ExitCode::Ok;
}

ExitCode publishCommand(ObjectStore &store, const std::string &directory, const CommandOptions &options)
{
    // The head is read before the files: publishing is conditional on this head, so no other generation can be accepted
    // between the check of the files and the publication.
    const auto head = Platform::tryStore([&] { return Platform::readHead(store); });
    if (!head) {
        return platformFailed(*head.error);
    }
    const std::uint64_t baseGeneration = head.value->head.history.empty() ? 0 : head.value->head.current().generation;
    if (options.baseGeneration >= 0 && static_cast<std::uint64_t>(options.baseGeneration) != baseGeneration) {
        std::cerr << "wasabistairctl: generation " << baseGeneration << " is published, not " << options.baseGeneration << "; run diff again\n";
        return ExitCode::Conflict;
    }
    const Operators::Declarations declarations = Operators::loadDeclarations(directory);
    if (!declarations.faults.empty()) {
        return printFaults(declarations.faults, options.output);
    }
    const Platform::Content content = Platform::encodeContent(declarations.objects);
    if (baseGeneration > 0 && head.value->head.current().manifestDigest == content.manifestDigest) {
        std::cout << "nothing to publish: generation " << baseGeneration << " has the same content\n";
        return waitUntilInForce(store, baseGeneration, options);
    }
    const Platform::PublishOutcome outcome = Platform::publish(store, content, *head.value, newToken(), nowMs());
    switch (outcome.status) {
    case Platform::PublishStatus::Accepted:
        std::cout << "accepted: generation " << outcome.generation << ", " << outcome.bytesWritten << " bytes written\n";
        return waitUntilInForce(store, outcome.generation, options);
    case Platform::PublishStatus::Conflict:
        std::cerr << "wasabistairctl: another operator published generation " << outcome.generation
                  << "; this configuration was not published; run diff again\n";
        return ExitCode::Conflict;
    case Platform::PublishStatus::Unknown:
        std::cerr << "wasabistairctl: the platform failed; whether the configuration was accepted is unknown; see history\n";
        return ExitCode::Unknown;
    case Platform::PublishStatus::NotPublished:
        std::cerr << "wasabistairctl: the platform failed; nothing was published\n";
        return ExitCode::PlatformFailed;
    }
    return ExitCode::Unknown;
}

ExitCode historyCommand(ObjectStore &store, const CommandOptions &options)
{
    const auto head = Platform::tryStore([&] { return Platform::readHead(store); });
    if (!head) {
        return platformFailed(*head.error);
    }
    Table table({"generation", "published", "manifest"});
    for (const Platform::HeadEntry &entry : head.value->head.history) {
        table.addRow({std::to_string(entry.generation), timeText(entry.wall), entry.manifestDigest});
    }
    print(table, options.output);
    return ExitCode::Ok;
}

ExitCode pruneCommand(ObjectStore &store)
{
    const auto removed = Platform::tryStore([&] { return Platform::pruneContent(store); });
    if (!removed) {
        return platformFailed(*removed.error);
    }
    std::cout << "removed " << *removed.value << " objects that no kept generation uses\n";
    return ExitCode::Ok;
}

} // namespace Wasabistair::Tools
