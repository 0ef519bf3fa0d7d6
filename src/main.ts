/** Entry point of the `endivewell` binary. */
console.log("endivewell");
