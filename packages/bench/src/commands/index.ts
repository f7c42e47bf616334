/** The commands of `marigoldfold-bench` by name. */

/** Commands by id. */
export const commands = {};
