#include "program.h"

#include <cstdio>
#include <dlfcn.h>

namespace {

constexpr int exitCannotLoad = 4;
// Found beside the executable by its run path.
constexpr auto library = "libwasabistaird.so";

} // namespace

int main(int argc, char **argv)
{
    Wasabistair::App::blockControlSignals();
    void *const program = ::dlopen(library, RTLD_LAZY | RTLD_GLOBAL);
    void *const function = program != nullptr ? ::dlsym(program, "wasabistairMain") : nullptr;
    if (function == nullptr) {
        std::fprintf(stderr, "wasabistaird: %s can't be loaded: %s\n", library, ::dlerror());
        return exitCannotLoad;
    }
    return reinterpret_cast<decltype(&wasabistairMain)>(function)(argc, argv);
}
