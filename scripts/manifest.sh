# Sourced by scripts that read deploy/system.toml.

# manifest_build FILE: prints the command that builds the program.
manifest_build() {
    sed -n 's/^build = "\(.*\)"$/\1/p' "$1"
}

# manifest_packages FILE: prints the packages that the build needs, one per line.
manifest_packages() {
    sed -n 's/^packages = \[\(.*\)\]$/\1/p' "$1" | tr -d '" ' | tr ',' '\n'
}
