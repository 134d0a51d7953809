#!/usr/bin/env bash
# Prints every system file that the deployed build uses: headers, libraries, modules of CMake and
# pkg-config, and tools. Runs the `build` command of deploy/system.toml in a fresh checkout.
# usage: buildfiles.sh
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/manifest.sh

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
checkout=$work/checkout
mkdir "$checkout"
git ls-files -z | xargs -0 cp --parents -t "$checkout"

# Wraps pkg-config and logs the files that it reads.
cat >"$work/pkg-config" <<END
#!/bin/sh
/usr/bin/pkg-config --debug "\$@" >>"$work/pkg-config.log" 2>&1
exec /usr/bin/pkg-config "\$@"
END
chmod +x "$work/pkg-config"

build=$(manifest_build deploy/system.toml)
(cd "$checkout" && PKG_CONFIG="$work/pkg-config" LDFLAGS=-Wl,--trace bash -c "$build") \
    >"$work/build.log" 2>&1 || {
    tail -n 40 "$work/build.log" >&2
    echo "buildfiles: the build failed: $build" >&2
    exit 1
}

# Headers, from the compiler's dependency files.
headers() {
    ninja -C "$checkout/target" -t deps | sed -n 's/^    //p'
}

# Objects and libraries, from the linker's trace.
linked_files() {
    grep '^/' "$work/build.log"
}

# Programs and inputs that build.ninja names, such as CMake modules and a compiler launcher.
ninja_files() {
    tr ' "=:|;' '\n' <"$checkout/target/build.ninja" | sed 's/^-[IL]//' | grep '^/'
}

# Files that CMake found, from its cache.
cached_files() {
    sed -n 's/^[^#/].*:FILEPATH=//p' "$checkout/target/CMakeCache.txt"
}

# Modules that pkg-config read.
pkg_config_files() {
    grep -oE '/[^ ]+\.pc$' "$work/pkg-config.log"
}

# Programs that the build runs, with those that the compiler runs.
tools() {
    local tool
    for tool in bash sh cmake ninja pkg-config as ld; do
        command -v "$tool"
    done
    for tool in cc1plus collect2 lto-wrapper; do
        c++ -print-prog-name="$tool"
    done
    c++ -print-file-name=liblto_plugin.so
}

for kind in headers linked_files ninja_files cached_files pkg_config_files tools; do
    $kind >"$work/$kind" && [ -s "$work/$kind" ] || {
        echo "buildfiles: found no $kind" >&2
        exit 1
    }
    cat "$work/$kind"
done | sort -u | while read -r path; do
    path=$(realpath -s "$path")
    [[ $path == "$work"/* || ! -f $path ]] || printf '%s\n' "$path"
done | sort -u
