export * from "./connections.js";
export * from "./credentials.js";
export * from "./generated/endivewell.js";
export * from "./server.js";
export * from "./stateReport.js";
