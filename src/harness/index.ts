export * from "./childProcess.js";
export * from "./fleet.js";
export * from "./processUsage.js";
