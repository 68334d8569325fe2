#include "objectdiff.h"

#include <steering/schema.h>

#include <algorithm>
#include <map>

namespace Wasabistair::Operators {

namespace {

using Json = nlohmann::json;
using Steering::ClientBlock;

std::map<std::string, Json> byLabel(const Steering::ObjectSet &objects)
{
    std::map<std::string, Json> result;
    for (const Json &object : Steering::objectsToJson(objects)) {
        result[Steering::objectLabel(object)] = object;
    }
    return result;
}

void diffFields(const std::string &label, const Json &before, const Json &after, std::vector<ObjectChange> &changes)
{
    for (const auto &[field, value] : after.items()) {
        if (!before.contains(field) || before[field] != value) {
            changes.push_back({ChangeKind::Changed, label, field, before.value(field, Json()).dump(), value.dump()});
        }
    }
}

std::map<std::string, std::string> blocksByPrefix(const std::vector<ClientBlock> &blocks)
{
    std::map<std::string, std::string> result;
    for (const ClientBlock &block : blocks) {
        result[Steering::prefixToString(block.address, block.prefixLength)] = block.site;
    }
    return result;
}

void diffBlocks(const Steering::ObjectSet &before, const Steering::ObjectSet &after, std::vector<ObjectChange> &changes)
{
    if (before.clientBlocks == after.clientBlocks) {
        return;
    }
    const auto old = blocksByPrefix(before.clientBlocks);
    const auto now = blocksByPrefix(after.clientBlocks);
    for (const auto &[prefix, site] : now) {
        const auto found = old.find(prefix);
        if (found == old.end()) {
            changes.push_back({ChangeKind::Added, "Clients/" + prefix, "site", "", site});
        } else if (found->second != site) {
            changes.push_back({ChangeKind::Changed, "Clients/" + prefix, "site", found->second, site});
        }
    }
    for (const auto &[prefix, site] : old) {
        if (!now.contains(prefix)) {
            changes.push_back({ChangeKind::Removed, "Clients/" + prefix, "site", site, ""});
        }
    }
}

} // namespace

std::string_view toString(ChangeKind kind)
{
    switch (kind) {
    case ChangeKind::Added:
        return "added";
    case ChangeKind::Removed:
        return "removed";
    case ChangeKind::Changed:
        return "changed";
    }
    return "changed";
}

std::vector<ObjectChange> diffObjects(const Steering::ObjectSet &before, const Steering::ObjectSet &after)
{
    std::vector<ObjectChange> changes;
    const auto old = byLabel(before);
    const auto now = byLabel(after);
    for (const auto &[label, object] : now) {
        const auto found = old.find(label);
        if (found == old.end()) {
            changes.push_back({ChangeKind::Added, label, "", "", ""});
        } else {
            diffFields(label, found->second, object, changes);
        }
    }
    for (const auto &[label, object] : old) {
        if (!now.contains(label)) {
            changes.push_back({ChangeKind::Removed, label, "", "", ""});
        }
    }
    diffBlocks(before, after, changes);
    std::sort(changes.begin(), changes.end());
    return changes;
}

} // namespace Wasabistair::Operators
