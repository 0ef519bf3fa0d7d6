export * from "./childProcess.js";
export * from "./fleet.js";
