export * from "./engineClient.js";
export * from "./headers.js";
export * from "./operatorRows.js";
export * from "./serverRows.js";
export * from "./settings.js";
export * from "./store.js";
export * from "./tableReplica.js";
