// Contains the entry point of the program.
#include <iostream>

#include "commands/command_line.hpp"

int main(int argc, char** argv)
{
    std::vector<std::string> const arguments(argv + 1, argv + argc);
    yuccafall::commands::output_streams streams{std::cout, std::cerr};
    return static_cast<int>(
        yuccafall::commands::run_command_line(arguments, streams));
}
