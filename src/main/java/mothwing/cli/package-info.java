/**
 * The sub-commands of the program: one class each, with its options and its help made from them.
 * They read arguments, call the parts that do the work, and turn failures into one line and an exit
 * status.
 */
package mothwing.cli;
