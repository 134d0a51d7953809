# Sourced by scripts that read deploy/system.toml and the lists of packages.

# manifest_build FILE: the command that builds the program.
manifest_build() {
    sed -n 's/^build = "\(.*\)"$/\1/p' "$1"
}

# manifest_packages FILE: the packages that the build needs, one a line.
manifest_packages() {
    sed -n 's/^packages = \[\(.*\)\]$/\1/p' "$1" | tr -d '" ' | tr ',' '\n'
}
