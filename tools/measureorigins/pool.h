#pragma once

/// Prints how long prompts wait in a pool of two software versions if the version of each is free,
/// and if a function of its id or of its beginning gives it.
void measurePlacement();
